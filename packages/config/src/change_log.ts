/**
 * Change log in an object store: proposals, replay, maintenance and audit
 * trail.
 */
import {
  createLogger,
  createRandom,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import { randomInt, randomUUID } from "node:crypto";
import { Archiver } from "./archive.ts";
import {
  type CatchUpResult,
  type ChangeLog,
  type HistoryQuery,
  type HistoryResult,
  LogReadStatus,
  type ProposeOutcome,
  type ProposeRequest,
} from "./change_log_contract.ts";
import {
  RETRY_DELAY_MAX_MS,
  RETRY_DELAY_MS,
  WATCH_BATCH_DELAY_MS,
  WATCH_TIMEOUT_MS,
} from "./constants.ts";
import { readHistory } from "./history.ts";
import { CHANGES_PREFIX } from "./log_keys.ts";
import { LogReader } from "./log_reader.ts";
import { LOG_SIZES, type LogSizes } from "./log_sizes.ts";
import { Proposer } from "./proposer.ts";
import type { MemoryReplica } from "./replica.ts";
import { SegmentStore } from "./segments.ts";
import { SnapshotStore } from "./snapshot_store.ts";

const log = createLogger("config");

/** Options of a change log. */
export interface ChangeLogOptions {
  store: ObjectStore;
  /** The replica that the log keeps up to date. */
  replica: MemoryReplica;
  /** Office of this daemon, for the audit trail. */
  office: string;
  /**
   * Name of this daemon, unique among running daemons. @default a random UUID
   */
  writer?: string;
  /** Source of randomness for jitter. @default randomly seeded */
  random?: Random;
  /** Returns milliseconds since 1970. @default Date.now */
  wallClock?: () => number;
  /** Longest time that one watch call waits, in milliseconds. @default 2000 */
  watchTimeoutMs?: number;
  /** First retry delay, in milliseconds; doubles per failure. @default 1000 */
  retryDelayMs?: number;
  /**
   * First delay before checking a write whose response was lost, in
   * milliseconds. @default 50
   */
  resolveBackoffMs?: number;
  /**
   * Pause between two writes during compaction, in milliseconds. @default 10
   */
  compactionPauseMs?: number;
}

/**
 * Options that are passed through; the component that uses them sets the
 * default.
 */
type PassThroughOption = "compactionPauseMs" | "resolveBackoffMs";

/** Options after defaults are applied, except pass-through options. */
export type ResolvedChangeLogOptions =
  & Required<Omit<ChangeLogOptions, PassThroughOption>>
  & Pick<ChangeLogOptions, PassThroughOption>;

const MAX_SEED = 2 ** 31;

/** Applies the default values. */
export function resolveChangeLogOptions(
  raw: ChangeLogOptions,
): ResolvedChangeLogOptions {
  return {
    ...raw,
    writer: raw.writer ?? randomUUID(),
    random: raw.random ?? createRandom(randomInt(MAX_SEED)),
    wallClock: raw.wallClock ?? Date.now,
    watchTimeoutMs: raw.watchTimeoutMs ?? WATCH_TIMEOUT_MS,
    retryDelayMs: raw.retryDelayMs ?? RETRY_DELAY_MS,
  };
}

class StoreChangeLog implements ChangeLog {
  readonly #options: ResolvedChangeLogOptions;
  readonly #sizes: LogSizes;
  readonly #segments: SegmentStore;
  readonly #snapshots: SnapshotStore;
  readonly #reader: LogReader;
  readonly #proposer: Proposer;
  readonly #archiver: Archiver;
  /**
   * Number of changes after which this daemon checks whether a snapshot is due;
   * randomized for each daemon.
   */
  readonly #snapshotCheckInterval: number;
  #snapshotSequence = 0;
  #maintenance: Promise<void> | undefined;

  constructor(raw: ChangeLogOptions, sizes: LogSizes) {
    const options = resolveChangeLogOptions(raw);
    const { store, replica, writer, random, compactionPauseMs } = options;
    const segments = new SegmentStore(store, sizes);
    const snapshots = new SnapshotStore(store, sizes, writer);
    const reader = new LogReader(store, replica, snapshots);
    this.#options = options;
    this.#sizes = sizes;
    this.#segments = segments;
    this.#snapshots = snapshots;
    this.#reader = reader;
    this.#snapshotCheckInterval = sizes.snapshotIntervalChanges *
      (1 + random.float());
    this.#proposer = new Proposer({ ...options, segments, reader });
    this.#archiver = new Archiver({
      ...options,
      segments,
      sizes,
      pauseMs: compactionPauseMs,
    });
  }

  propose(req: ProposeRequest, signal: AbortSignal): Promise<ProposeOutcome> {
    return this.#proposer.propose(req, signal);
  }

  catchUp(signal: AbortSignal): Promise<CatchUpResult> {
    return this.#reader.catchUp(signal);
  }

  history(query: HistoryQuery, signal: AbortSignal): Promise<HistoryResult> {
    return readHistory(this.#options.store, this.#segments, query, signal);
  }

  async follow(signal: AbortSignal): Promise<void> {
    const { retryDelayMs, random } = this.#options;
    let waitMs = retryDelayMs;
    while (!signal.aborted) {
      if (await this.#catchUpAndWatch(signal)) {
        waitMs = retryDelayMs;
        continue;
      }
      await sleep(jitter(waitMs, random), signal);
      waitMs = Math.min(2 * waitMs, RETRY_DELAY_MAX_MS);
    }
    await this.#maintenance;
  }

  async maintain(signal: AbortSignal): Promise<void> {
    const { replica } = this.#options;
    if (
      replica.sequence - this.#snapshotSequence < this.#snapshotCheckInterval
    ) return;
    const stored = await this.#snapshots.sequence(signal);
    if (stored === undefined) return;
    this.#snapshotSequence = stored;
    const snapshot = replica.snapshot();
    if (snapshot.sequence - stored < this.#sizes.snapshotIntervalChanges) {
      return;
    }
    const written = await this.#snapshots.write(snapshot, signal);
    if (!written) return;
    this.#snapshotSequence = snapshot.sequence;
    await this.#archiver.run(snapshot.sequence, signal);
  }

  /**
   * Catches up, then watches until a call fails or a catch-up is needed.
   * Returns true if at least one watch succeeded. The caller then reconnects
   * without delay, for example after a connection stopped responding.
   */
  async #catchUpAndWatch(signal: AbortSignal): Promise<boolean> {
    const result = await this.#reader.catchUp(signal);
    if (result.status === LogReadStatus.Ok) {
      return await this.#watch(result.revision, signal);
    }
    log("store_unavailable", { message: result.message });
    return false;
  }

  /** Watches from `revision` until a call fails or a catch-up is needed. */
  async #watch(revision: number, signal: AbortSignal): Promise<boolean> {
    const { store, watchTimeoutMs } = this.#options;
    let afterRevision = revision;
    let answered = false;
    while (!signal.aborted) {
      this.#startMaintenance(signal);
      const result = await store.watch(
        { prefix: CHANGES_PREFIX, afterRevision, waitMs: watchTimeoutMs },
        signal,
      );
      if (result.status !== StoreStatus.Ok) return answered;
      const applied = await this.#reader.applyEvents(result.events, signal);
      if (!applied) return answered;
      answered = true;
      afterRevision = result.revision;
      await sleep(WATCH_BATCH_DELAY_MS, signal);
    }
    return answered;
  }

  #startMaintenance(signal: AbortSignal): void {
    if (this.#maintenance) return;
    this.#maintenance = this.maintain(signal).finally(() => {
      this.#maintenance = undefined;
    });
  }
}

/** Creates the change log of a store. */
export function createChangeLog(options: ChangeLogOptions): ChangeLog {
  return new StoreChangeLog(options, LOG_SIZES);
}

/** Creates a change log with other document sizes, for tests. */
export function createChangeLogWithSizes(
  options: ChangeLogOptions,
  sizes: LogSizes,
): ChangeLog {
  return new StoreChangeLog(options, sizes);
}
