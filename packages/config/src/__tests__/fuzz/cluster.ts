/** Four daemons in two offices with a shared store, checked by the oracle. */
import { expect } from "@jest/globals";
import { createRandom, type Random } from "@sassafrascleat/runtime";
import { createMemoryStore, type ObjectStore } from "@sassafrascleat/store";
import { createChangeLogWithSizes } from "../../change_log.ts";
import {
  type ChangeLog,
  LogReadStatus,
  ProposeKind,
  type ProposeOutcome,
  type ProposeRequest,
} from "../../change_log_contract.ts";
import { createConfigReplica, type MemoryReplica } from "../../replica.ts";
import { neverAborts } from "../fixtures.ts";
import {
  FaultyStore,
  Network,
  type StoreDefect,
  WriteFault,
} from "./faulty_store.ts";
import { LogOracle, objectsInSnapshot } from "./log_oracle.ts";

const OFFICES = ["co-op", "co-op", "turret", "turret"];

const SIZES = {
  snapshotIntervalChanges: 2,
  maxPieceBytes: 900,
  changesPerSegment: 3,
  minUnarchivedChanges: 2,
};

/** One daemon; a restart replaces its replica and log. */
export interface Daemon {
  office: string;
  store: FaultyStore;
  replica: MemoryReplica;
  log: ChangeLog;
  /** Highest sequence of the replica since the daemon started. */
  highestSequence: number;
}

/** Outcomes that guarantee that the patch is not in the log. */
const REJECTIONS = new Set([
  ProposeKind.Outdated,
  ProposeKind.Invalid,
  ProposeKind.NotRun,
]);

/** The system under test and its oracle. */
export class Cluster {
  readonly network = new Network();
  readonly oracle = new LogOracle();
  readonly daemons: Daemon[];
  /** Proposals with an unknown outcome, which may be retried. */
  readonly unknown: ProposeRequest[] = [];
  readonly accepted: ProposeRequest[] = [];
  readonly #rejected = new Set<string>();
  readonly #random: Random;
  readonly #sharedStore: ObjectStore;
  readonly #broken: StoreDefect;
  #nextPatch = 1;

  constructor(seed: number, broken: StoreDefect) {
    this.#random = createRandom(seed);
    this.#broken = broken;
    this.#sharedStore = this.oracle.observe(createMemoryStore());
    this.daemons = OFFICES.map((office) => this.#startDaemon(office));
  }

  daemon(index: number): Daemon {
    return this.daemons[index % this.daemons.length]!;
  }

  newPatchId(): string {
    return `patch-${this.#nextPatch++}`;
  }

  #startDaemon(office: string): Daemon {
    const store = new FaultyStore(
      this.#sharedStore,
      this.network,
      this.#random,
      this.#broken,
    );
    return {
      office,
      store,
      ...this.#createReplicaAndLog(office, store),
      highestSequence: 0,
    };
  }

  #createReplicaAndLog(office: string, store: FaultyStore) {
    const replica = createConfigReplica({
      maxRecentChanges: 4,
      maxRecentPatchIds: 4,
    });
    const log = createChangeLogWithSizes({
      store,
      replica,
      office,
      random: this.#random,
      compactionPauseMs: 0,
      resolveBackoffMs: 0,
    }, SIZES);
    return { replica, log };
  }

  /** Restarts a daemon, empty or from the snapshot of a peer. */
  restart(index: number, peer: number | undefined): void {
    const daemon = this.daemon(index);
    const snapshot = peer === undefined
      ? undefined
      : this.daemon(peer).replica.snapshot();
    Object.assign(
      daemon,
      this.#createReplicaAndLog(daemon.office, daemon.store),
    );
    if (snapshot) daemon.replica.installSnapshot(snapshot);
    daemon.highestSequence = 0;
  }

  /** Copies one daemon's configuration to another, as the relay does. */
  relay(from: number, to: number): void {
    const source = this.daemon(from).replica;
    const target = this.daemon(to).replica;
    const changes = source.changesAfter(target.sequence, 100);
    if (changes) changes.forEach((change) => target.apply(change));
    else target.installSnapshot(source.snapshot());
  }

  /** Proposes a change and checks the outcome against the oracle. */
  async propose(index: number, req: ProposeRequest): Promise<void> {
    const outcome = await this.daemon(index).log.propose(req, neverAborts);
    this.#record(req, outcome);
  }

  #record(req: ProposeRequest, outcome: ProposeOutcome): void {
    const sequences = this.oracle.sequencesOf(req.patchId);
    if (outcome.kind === ProposeKind.Accepted) {
      expect(sequences).toEqual([outcome.sequence]);
      const change = this.oracle.log[outcome.sequence - 1];
      expect(change?.version).toBe(outcome.version);
      this.accepted.push(req);
    } else if (REJECTIONS.has(outcome.kind)) {
      this.#rejected.add(req.patchId);
    } else {
      this.unknown.push({ ...req, repeated: true });
    }
  }

  /** Checks the invariants that hold after every step. */
  check(): void {
    for (const daemon of this.daemons) {
      const { sequence } = daemon.replica;
      expect(sequence).toBeGreaterThanOrEqual(daemon.highestSequence);
      expect(sequence).toBeLessThanOrEqual(this.oracle.log.length);
      daemon.highestSequence = sequence;
      const objects = objectsInSnapshot(daemon.replica.snapshot());
      expect(objects).toEqual(this.oracle.objectsAt(sequence));
    }
    for (const patchId of this.#rejected) {
      expect(this.oracle.sequencesOf(patchId)).toEqual([]);
    }
  }

  /**
   * Ends all faults, then checks that all daemons agree and that the audit
   * trail is complete.
   */
  async finish(): Promise<void> {
    this.network.outage = false;
    for (const daemon of this.daemons) {
      daemon.store.partitioned = false;
      daemon.store.writeFault = WriteFault.None;
    }
    await this.network.deliverLateWrites();
    for (const req of [...this.unknown, ...this.accepted]) {
      await this.propose(this.#random.int(0, 3), req);
    }
    for (const daemon of this.daemons) {
      const caughtUp = await daemon.log.catchUp(neverAborts);
      expect(caughtUp.status).toBe(LogReadStatus.Ok);
      expect(daemon.replica.sequence).toBe(this.oracle.log.length);
    }
    this.check();
    await this.#checkAudit();
  }

  async #checkAudit(): Promise<void> {
    const { log } = this.daemon(0);
    const history = await log.history({ limit: 1_000 }, neverAborts);
    expect(history).toEqual({
      status: LogReadStatus.Ok,
      changes: [...this.oracle.log].reverse(),
    });
  }
}
