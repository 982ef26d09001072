/**
 * The task that long-polls one peer after another. It stays with the first
 * peer of the pull order that answers and agrees with the store; a peer that
 * is silent, gone or behind is passed over for a time.
 */
import type { ConfigReplica } from "@sassafrascleat/config";
import type { PullReply, PullRequest } from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import { BEHIND_MS, PULL_PAUSE_MS, ROLE_CHECK_MS } from "../constants.ts";
import { applyReply } from "./apply_reply.ts";
import { type Freshness, Staleness } from "./freshness.ts";
import type { Members } from "./members.ts";
import type { RelayPeer } from "./peer.ts";
import type { PeerClient } from "./peer_client.ts";
import type { PeerHealth } from "./peer_health.ts";
import type { PeerTable } from "./peer_table.ts";

/** What a puller works on. */
export interface PullerParts {
  self: RelayPeer;
  replica: ConfigReplica;
  freshness: Freshness;
  members: Members;
  health: PeerHealth;
  peers: PeerTable;
  client: PeerClient;
  clock: Clock;
  random: Random;
  /** Wait of a long poll, in milliseconds. */
  pullWaitMs: number;
  /** Silence beyond the wait that makes a pull lost, in milliseconds. */
  pullGraceMs: number;
  /** Age beyond which a peer's agreement with the store is old, in milliseconds. */
  staleAfterMs: number;
}

const log = createLogger("relay");

/** Pulls configuration from peers. */
export class Puller {
  readonly #parts: PullerParts;
  readonly #behindUntil = new Map<string, number>();
  #heardAtMs: number;
  #target: string | undefined;

  constructor(parts: PullerParts) {
    this.#parts = parts;
    this.#heardAtMs = parts.clock.now();
  }

  /** Time since any peer answered, in milliseconds. */
  silentMs(): number {
    return this.#parts.clock.now() - this.#heardAtMs;
  }

  /** The peer that was pulled from last. */
  get target(): string | undefined {
    return this.#target;
  }

  /** Pulls until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peer = this.#isNeeded() ? this.#choose() : undefined;
      if (peer) await this.#pullFrom(peer, signal);
      else await sleep(ROLE_CHECK_MS, signal);
    }
  }

  /** Asks `peer` once; undefined when it did not answer in time. */
  async ask(
    peer: RelayPeer,
    waitMs: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PullReply | undefined> {
    const { client, clock, freshness, health, replica } = this.#parts;
    const sentAtMs = clock.now();
    const req = this.#request(waitMs);
    const reply = await client.pull(peer, req, timeoutMs, signal);
    if (reply) health.answered(peer.daemonId);
    if (!reply || signal.aborted) return undefined;
    this.#heardAtMs = clock.now();
    const caughtUp = applyReply(replica, reply);
    if (caughtUp && reply.confirmedAgeMs !== undefined) {
      const repliedAtMs = sentAtMs + (reply.waitedMs ?? 0);
      freshness.confirm(repliedAtMs - reply.confirmedAgeMs);
    }
    return reply;
  }

  /** A head pulls only while the store does not confirm its replica. */
  #isNeeded(): boolean {
    const { freshness, peers } = this.#parts;
    return !peers.isHead() || freshness.staleness !== Staleness.Current;
  }

  #choose(): RelayPeer | undefined {
    const nowMs = this.#parts.clock.now();
    const order = this.#parts.peers.pullOrder();
    const isBehind = (peer: RelayPeer) =>
      (this.#behindUntil.get(peer.daemonId) ?? 0) > nowMs;
    return order.find((peer) => !isBehind(peer)) ?? order[0];
  }

  async #pullFrom(peer: RelayPeer, signal: AbortSignal): Promise<void> {
    const { peers, pullWaitMs, pullGraceMs, random, replica } = this.#parts;
    this.#setTarget(peer);
    const before = replica.sequence;
    const timeoutMs = pullWaitMs + pullGraceMs;
    const reply = await this.ask(peer, pullWaitMs, timeoutMs, signal);
    if (!reply && !signal.aborted) peers.lost(peer.daemonId);
    if (!reply) return;
    if (this.#isBehind(reply, before)) this.#passOver(peer);
    else this.#behindUntil.delete(peer.daemonId);
    if (reply.sequence > before) {
      await sleep(jitter(PULL_PAUSE_MS, random), signal);
    }
  }

  /** A peer behind this daemon, cut off, or whose changes don't fit here. */
  #isBehind(reply: PullReply, before: number): boolean {
    const { replica, staleAfterMs } = this.#parts;
    const age = reply.confirmedAgeMs ?? Infinity;
    const delivered = Math.max(before, reply.changes.at(-1)?.sequence ?? 0);
    return age > staleAfterMs || reply.sequence < before ||
      replica.sequence < delivered;
  }

  #passOver(peer: RelayPeer): void {
    const { clock, random } = this.#parts;
    const untilMs = clock.now() + jitter(BEHIND_MS, random);
    this.#behindUntil.set(peer.daemonId, untilMs);
    if (this.#behindUntil.size > 64) this.#dropExpired();
  }

  #dropExpired(): void {
    const nowMs = this.#parts.clock.now();
    for (const [id, untilMs] of this.#behindUntil) {
      if (untilMs <= nowMs) this.#behindUntil.delete(id);
    }
  }

  #setTarget(peer: RelayPeer): void {
    if (this.#target === peer.daemonId) return;
    log("pull_target", { peer: peer.daemonId, before: this.#target });
    this.#target = peer.daemonId;
  }

  #request(waitMs: number): PullRequest {
    const { self, replica, members, peers } = this.#parts;
    return {
      daemonId: self.daemonId,
      office: self.office,
      availabilityZone: self.availabilityZone,
      address: self.address || undefined,
      afterSequence: replica.sequence,
      waitMs,
      reports: peers.isHead() ? [] : members.callers(),
    };
  }
}
