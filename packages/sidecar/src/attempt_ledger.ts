/**
 * Ledger of requests, with one record per request id for its latest attempt. A
 * record goes `Reserved -> Running -> Finished`, or from `Reserved` or
 * `Running` to `Cancelled`. A cancelled record is a tombstone: messages for its
 * attempt or an earlier one that arrive later are refused.
 */
import {
  type AttemptRef,
  CancelState,
  RefusalReason,
} from "@sassafrascleat/protocol";

/** State of an attempt. */
export enum AttemptState {
  Reserved = "reserved",
  Running = "running",
  Finished = "finished",
  Cancelled = "cancelled",
}

/** Record of the latest attempt of a request. */
export interface AttemptRecord {
  readonly requestId: string;
  readonly attempt: number;
  entryId: string;
  state: AttemptState;
  renewedAtMs: number;
  /** Time at which the attempt finished or was cancelled. */
  endedAtMs: number;
  /** Reason for refusing later messages if the attempt was cancelled. */
  refusal: RefusalReason;
  /** Aborts when the attempt is cancelled or superseded. */
  readonly stop: AbortController;
}

/** Options of an `AttemptLedger`. */
export interface AttemptLedgerOptions {
  /** Time for which ended attempts are kept, in milliseconds. */
  retentionMs: number;
  /** Maximum number of attempts in the ledger. */
  capacity: number;
  /** Called after an attempt was cancelled, with its previous state. */
  onEnd(record: AttemptRecord, previousState: AttemptState): void;
}

/** Returns the engine's id for an attempt. */
export function attemptId(ref: AttemptRef): string {
  return `${ref.requestId}/${ref.attempt}`;
}

/** Parses an id created by `attemptId`. */
export function parseAttemptId(id: string): AttemptRef {
  const slash = id.lastIndexOf("/");
  const attempt = Number(id.slice(slash + 1));
  return { requestId: id.slice(0, slash), attempt };
}

/** Whether an attempt is reserved or running. */
export function isOpen(record: AttemptRecord): boolean {
  return record.state === AttemptState.Reserved ||
    record.state === AttemptState.Running;
}

/** Stores the latest attempt of every request, tombstones included. */
export class AttemptLedger {
  readonly #cfg: AttemptLedgerOptions;
  readonly #records = new Map<string, AttemptRecord>();
  /** Open records, kept separately because they are few among all records. */
  readonly #open = new Set<AttemptRecord>();

  constructor(cfg: AttemptLedgerOptions) {
    this.#cfg = cfg;
  }

  get size(): number {
    return this.#records.size;
  }

  /** Returns the record if it is of exactly this attempt. */
  find(ref: AttemptRef): AttemptRecord | undefined {
    const record = this.#records.get(ref.requestId);
    return record?.attempt === ref.attempt ? record : undefined;
  }

  /**
   * Returns why this attempt can't be admitted; undefined if it can be, or if
   * it has a record that isn't cancelled.
   */
  refusal(ref: AttemptRef): RefusalReason | undefined {
    const record = this.#records.get(ref.requestId);
    if (!record) {
      const full = this.#records.size >= this.#cfg.capacity;
      return full ? RefusalReason.Full : undefined;
    }
    if (record.attempt > ref.attempt) return RefusalReason.Superseded;
    if (record.attempt < ref.attempt) return undefined;
    return record.state === AttemptState.Cancelled ? record.refusal : undefined;
  }

  /** Cancels the request's open attempt if it is earlier than `ref.attempt`. */
  supersede(ref: AttemptRef, nowMs: number): void {
    const record = this.#records.get(ref.requestId);
    if (!record || record.attempt >= ref.attempt) return;
    this.end(record, RefusalReason.Superseded, nowMs);
  }

  /** Adds a reserved attempt. The caller must have checked `refusal` before. */
  admit(ref: AttemptRef, entryId: string, nowMs: number): AttemptRecord {
    this.supersede(ref, nowMs);
    const record = createRecord(ref, entryId, nowMs);
    this.#put(record);
    return record;
  }

  /** Adds a tombstone, so that the attempt can never start. */
  addTombstone(ref: AttemptRef, reason: RefusalReason, nowMs: number): void {
    const known = this.#records.get(ref.requestId);
    if (known && known.attempt > ref.attempt) return;
    if (known) this.end(known, reason, nowMs);
    if (known?.attempt === ref.attempt) return;
    const record = createRecord(ref, "", nowMs);
    this.#put(record);
    this.end(record, reason, nowMs);
  }

  /**
   * Cancels an attempt and all earlier ones; returns the state before the
   * cancel.
   */
  cancel(ref: AttemptRef, nowMs: number): CancelState {
    const known = this.#records.get(ref.requestId);
    const state = known && known.attempt <= ref.attempt
      ? toCancelState(known)
      : CancelState.NotStarted;
    this.addTombstone(ref, RefusalReason.Tombstoned, nowMs);
    return state;
  }

  /** Cancels an open attempt; its record becomes a tombstone. */
  end(record: AttemptRecord, reason: RefusalReason, nowMs: number): void {
    if (!isOpen(record)) return;
    const previousState = record.state;
    this.#open.delete(record);
    record.state = AttemptState.Cancelled;
    record.refusal = reason;
    record.endedAtMs = nowMs;
    record.stop.abort();
    this.#cfg.onEnd(record, previousState);
  }

  /** Aborts the work on all open attempts, when the sidecar closes. */
  stopAll(): void {
    for (const record of this.open()) record.stop.abort();
  }

  finish(record: AttemptRecord, nowMs: number): void {
    if (!isOpen(record)) return;
    this.#open.delete(record);
    record.state = AttemptState.Finished;
    record.endedAtMs = nowMs;
  }

  /** Renews an attempt; returns false if it is unknown or cancelled. */
  renew(ref: AttemptRef, entryId: string, nowMs: number): boolean {
    const record = this.find(ref);
    if (!record || record.state === AttemptState.Cancelled) return false;
    record.entryId = entryId;
    record.renewedAtMs = nowMs;
    return true;
  }

  /** Returns the open attempts that were not renewed since `sinceMs`. */
  lapsed(sinceMs: number): AttemptRecord[] {
    return this.open().filter((record) => record.renewedAtMs < sinceMs);
  }

  /** Returns the attempts that are reserved or running. */
  open(): AttemptRecord[] {
    return [...this.#open];
  }

  /**
   * Removes ended attempts past their retention, except those for which `keep`
   * returns true. Returns the request ids of the removed ones.
   */
  prune(nowMs: number, keep: (requestId: string) => boolean): string[] {
    const before = nowMs - this.#cfg.retentionMs;
    const old = [...this.#records.values()].filter((record) =>
      !isOpen(record) && record.endedAtMs < before && !keep(record.requestId)
    );
    for (const record of old) this.#records.delete(record.requestId);
    return old.map((record) => record.requestId);
  }

  #put(record: AttemptRecord): void {
    this.#records.set(record.requestId, record);
    this.#open.add(record);
  }
}

function createRecord(
  ref: AttemptRef,
  entryId: string,
  nowMs: number,
): AttemptRecord {
  return {
    requestId: ref.requestId,
    attempt: ref.attempt,
    entryId,
    state: AttemptState.Reserved,
    renewedAtMs: nowMs,
    endedAtMs: 0,
    refusal: RefusalReason.Tombstoned,
    stop: new AbortController(),
  };
}

function toCancelState(record: AttemptRecord): CancelState {
  if (record.state === AttemptState.Running) return CancelState.Running;
  if (record.state === AttemptState.Finished) return CancelState.Finished;
  return CancelState.NotStarted;
}
