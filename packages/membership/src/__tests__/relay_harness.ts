/** Test harness: relays over loopback with an in-memory change log and faulty listeners. */
import {
  ApplyResult,
  type Change,
  ChangeAction,
  type ConfigReplica,
  ObjectKind,
  type Snapshot,
} from "@sassafrascleat/config";
import {
  createRelayRouter,
  type PullReply,
  type PullRequest,
  RELAY_RPC_PATH,
} from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";
import { createHTTPServer } from "@trpc/server/adapters/standalone";
import type { AddressInfo } from "node:net";
import {
  type ChangeLogFollower,
  createRelay,
  type PeerClient,
  type PeerSource,
  type Relay,
  type RelayOptions,
  type RelayPeer,
} from "../index.ts";

/** Creates the change with this sequence number. */
export function changeAt(sequence: number): Change {
  return {
    sequence,
    patchId: `patch-${sequence}`,
    author: "tester",
    office: "north",
    time: "2026-01-01T00:00:00.000Z",
    kind: ObjectKind.Customer,
    name: "c",
    action: ChangeAction.Patch,
    baseVersion: sequence,
    operations: [],
  };
}

/** A replica that stores changes but no objects. */
export class LogReplica implements ConfigReplica {
  sequence = 0;
  readonly applied: number[] = [];
  readonly #changes: Change[] = [];
  readonly #listeners = new Set<(sequence: number) => void>();

  apply(change: Change): ApplyResult {
    if (change.sequence <= this.sequence) return ApplyResult.AlreadyApplied;
    if (change.sequence > this.sequence + 1) return ApplyResult.Gap;
    this.#changes.push(change);
    this.#move(change.sequence);
    return ApplyResult.Applied;
  }

  changesAfter(sequence: number, limit: number): Change[] | undefined {
    const first = this.#changes[0];
    if (!first || first.sequence > sequence + 1) return undefined;
    return this.#changes.filter((c) => c.sequence > sequence).slice(0, limit);
  }

  snapshot(): Snapshot {
    return {
      sequence: this.sequence,
      objects: [],
      deleted: [],
      recentPatches: [],
    };
  }

  installSnapshot(snapshot: Snapshot): boolean {
    if (snapshot.sequence <= this.sequence) return false;
    this.#changes.length = 0;
    this.#move(snapshot.sequence);
    return true;
  }

  get(): undefined {
    return undefined;
  }

  list(): [] {
    return [];
  }

  customerByKeySha256(): undefined {
    return undefined;
  }

  onChange(listener: (sequence: number) => void, signal: AbortSignal): void {
    this.#listeners.add(listener);
    signal.addEventListener("abort", () => this.#listeners.delete(listener));
  }

  /** Resolves when the sequence is at least `sequence`. */
  reached(sequence: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (this.sequence >= sequence) return resolve();
      this.onChange((now) => now >= sequence && resolve(), signal);
    });
  }

  #move(sequence: number): void {
    this.sequence = sequence;
    this.applied.push(sequence);
    for (const listener of [...this.#listeners]) listener(sequence);
  }
}

/** The change log of a fake store that can become unavailable. */
export class FakeChangeLog {
  available = true;
  length = 0;
  /** Number of calls by daemon. */
  readonly calls = new Map<string, number>();
  readonly #waiters = new Set<() => void>();

  append(): number {
    this.length += 1;
    for (const wake of [...this.#waiters]) wake();
    return this.length;
  }

  follower(daemonId: string, replica: LogReplica): ChangeLogFollower {
    return {
      poll: (waitMs, signal) => {
        this.calls.set(daemonId, this.callsOf(daemonId) + 1);
        return this.#poll(replica, waitMs, signal);
      },
    };
  }

  callsOf(daemonId: string): number {
    return this.calls.get(daemonId) ?? 0;
  }

  async #poll(
    replica: LogReplica,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!this.available) return false;
    if (replica.sequence >= this.length && waitMs > 0) {
      await this.#wait(waitMs, signal);
    }
    if (!this.available || signal.aborted) return false;
    while (replica.sequence < this.length) {
      replica.apply(changeAt(replica.sequence + 1));
    }
    return true;
  }

  #wait(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        signal.removeEventListener("abort", done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
      signal.addEventListener("abort", done);
    });
  }
}

/** The behaviour of a daemon's listener. */
export enum ListenerMode {
  Answers = "answers",
  /** Accepts requests and never answers, like a paused process. */
  Silent = "silent",
}

/** One daemon of a test: its replica, its relay and its listener. */
export interface TestDaemon {
  peer: RelayPeer;
  replica: LogReplica;
  relay: Relay;
  listener: ListenerMode;
  /** Number of pulls that reached the listener. */
  pulls: number;
  stop(): Promise<void>;
}

/** Options of a test daemon. */
export interface TestDaemonOptions {
  daemonId: string;
  office?: string;
  availabilityZone?: string;
  log: FakeChangeLog;
  peers: PeerSource;
  relay?: Partial<RelayOptions>;
}

/**
 * Starts a listener and creates a relay. `start` runs the relay, once the
 * addresses of all peers are known.
 */
export async function createTestDaemon(
  options: TestDaemonOptions,
): Promise<TestDaemon & { start(): void }> {
  const { daemonId, log, peers } = options;
  const office = options.office ?? "north";
  const availabilityZone = options.availabilityZone ?? "a";
  const replica = new LogReplica();
  const server = createHTTPServer({
    router: createRelayRouter({ pull: (req) => relay.control.pull(req) }),
    basePath: `${RELAY_RPC_PATH}/`,
    middleware: (_req, _res, next) => {
      daemon.pulls += 1;
      if (daemon.listener === ListenerMode.Answers) next();
    },
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const address = `http://127.0.0.1:${port}`;
  const relay = createRelay({
    daemonId,
    office,
    availabilityZone,
    address,
    replica,
    changeLogFollower: log.follower(daemonId, replica),
    peers,
    secret: new Secret("system", "s"),
    pullWaitMs: 200,
    pullGraceMs: 1_000,
    ...options.relay,
  });
  const controller = new AbortController();
  let running = Promise.resolve();
  const daemon = {
    peer: { daemonId, office, availabilityZone, address },
    replica,
    relay,
    listener: ListenerMode.Answers,
    pulls: 0,
    start() {
      running = relay.run(controller.signal);
    },
    async stop() {
      controller.abort();
      server.closeAllConnections();
      await new Promise((done) => server.close(done));
      await running;
    },
  };
  return daemon;
}

/** Delivers pulls within the process, without sockets. */
export class LocalPeerClient implements PeerClient {
  readonly #daemons = new Map<string, TestDaemon>();

  add(daemon: TestDaemon): void {
    this.#daemons.set(daemon.peer.daemonId, daemon);
  }

  pull(peer: RelayPeer, req: PullRequest): Promise<PullReply | undefined> {
    const daemon = this.#daemons.get(peer.daemonId);
    return daemon?.relay.control.pull(req) ?? Promise.resolve(undefined);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** A peer source whose list tests set once all addresses are known. */
export class MutablePeerSource implements PeerSource {
  list: RelayPeer[] | undefined = [];

  peers(): Promise<RelayPeer[] | undefined> {
    return Promise.resolve(this.list);
  }
}

/** Waits until `condition` returns true; fails after `limitMs`. */
export async function eventually(
  condition: () => boolean,
  limitMs = 15_000,
): Promise<void> {
  const deadline = Date.now() + limitMs;
  while (!condition()) {
    if (Date.now() > deadline) {
      throw new Error("condition was not met in time");
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
