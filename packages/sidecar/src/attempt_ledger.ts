/**
 * The request ledger: one record for each request id, which names its latest
 * attempt. A record goes `Reserved -> Running -> Finished`, or to `Cancelled`
 * from any state before `Finished`. A cancelled record is a tombstone: nothing
 * that arrives later under its attempt, or an earlier one, is run.
 */
import {
  type AttemptRef,
  CancelState,
  RefusalReason,
} from "@sassafrascleat/protocol";

/** Where an attempt stands. */
export enum AttemptState {
  Reserved = "reserved",
  Running = "running",
  Finished = "finished",
  Cancelled = "cancelled",
}

/** The latest attempt of one request. */
export interface AttemptRecord {
  readonly requestId: string;
  readonly attempt: number;
  entryId: string;
  state: AttemptState;
  renewedAtMs: number;
  /** When the attempt finished or was cancelled. */
  endedAtMs: number;
  /** What a late message is told once the attempt was cancelled. */
  refusal: RefusalReason;
  /** Aborts when the attempt is cancelled or superseded. */
  readonly stop: AbortController;
}

/** Settings of the ledger. */
export interface AttemptLedgerOptions {
  /** Time that ended attempts are kept, in milliseconds. */
  retentionMs: number;
  /** Attempts that are held at most. */
  capacity: number;
  /** Called after an attempt was ended early, with the state that it had. */
  onEnd(record: AttemptRecord, before: AttemptState): void;
}

/** The id under which an attempt is known to the engine. */
export function attemptId(ref: AttemptRef): string {
  return `${ref.requestId}/${ref.attempt}`;
}

/** The attempt behind an engine's id. */
export function parseAttemptId(id: string): AttemptRef {
  const slash = id.lastIndexOf("/");
  const attempt = Number(id.slice(slash + 1));
  return { requestId: id.slice(0, slash), attempt };
}

/** Whether an attempt may still run or is running. */
export function isOpen(record: AttemptRecord): boolean {
  return record.state === AttemptState.Reserved ||
    record.state === AttemptState.Running;
}

/** Holds the latest attempt of every request, tombstones included. */
export class AttemptLedger {
  readonly #cfg: AttemptLedgerOptions;
  readonly #records = new Map<string, AttemptRecord>();
  /** The open ones among the records, which are few. */
  readonly #open = new Set<AttemptRecord>();

  constructor(cfg: AttemptLedgerOptions) {
    this.#cfg = cfg;
  }

  get size(): number {
    return this.#records.size;
  }

  /** The record of exactly this attempt. */
  find(ref: AttemptRef): AttemptRecord | undefined {
    const record = this.#records.get(ref.requestId);
    return record?.attempt === ref.attempt ? record : undefined;
  }

  /** Why this attempt can't be admitted; undefined when it can or is known. */
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

  /** Voids every attempt of the request before `ref.attempt`. */
  supersede(ref: AttemptRef, nowMs: number): void {
    const record = this.#records.get(ref.requestId);
    if (!record || record.attempt >= ref.attempt) return;
    this.end(record, RefusalReason.Superseded, nowMs);
  }

  /** Opens a reserved attempt. The caller has seen no `refusal`. */
  admit(ref: AttemptRef, entryId: string, nowMs: number): AttemptRecord {
    this.supersede(ref, nowMs);
    const record = createRecord(ref, entryId, nowMs);
    this.#put(record);
    return record;
  }

  /** Writes a tombstone, so that the attempt can never start. */
  bury(ref: AttemptRef, reason: RefusalReason, nowMs: number): void {
    const known = this.#records.get(ref.requestId);
    if (known && known.attempt > ref.attempt) return;
    if (known) this.end(known, reason, nowMs);
    if (known?.attempt === ref.attempt) return;
    const record = createRecord(ref, "", nowMs);
    this.#put(record);
    this.end(record, reason, nowMs);
  }

  /** Cancels an attempt and all earlier ones; tells what was found. */
  cancel(ref: AttemptRef, nowMs: number): CancelState {
    const known = this.#records.get(ref.requestId);
    const state = known && known.attempt <= ref.attempt
      ? cancelStateOf(known)
      : CancelState.NotStarted;
    this.bury(ref, RefusalReason.Tombstoned, nowMs);
    return state;
  }

  /** Ends an open attempt early and leaves a tombstone. */
  end(record: AttemptRecord, reason: RefusalReason, nowMs: number): void {
    if (!isOpen(record)) return;
    const before = record.state;
    this.#open.delete(record);
    record.state = AttemptState.Cancelled;
    record.refusal = reason;
    record.endedAtMs = nowMs;
    record.stop.abort();
    this.#cfg.onEnd(record, before);
  }

  /** Stops the work on every open attempt; for the end of the sidecar. */
  stopAll(): void {
    for (const record of this.open()) record.stop.abort();
  }

  finish(record: AttemptRecord, nowMs: number): void {
    if (!isOpen(record)) return;
    this.#open.delete(record);
    record.state = AttemptState.Finished;
    record.endedAtMs = nowMs;
  }

  /** Renews an attempt; false when it isn't held. */
  renew(ref: AttemptRef, entryId: string, nowMs: number): boolean {
    const record = this.find(ref);
    if (!record || record.state === AttemptState.Cancelled) return false;
    record.entryId = entryId;
    record.renewedAtMs = nowMs;
    return true;
  }

  /** Open attempts that were not renewed since `sinceMs`. */
  lapsed(sinceMs: number): AttemptRecord[] {
    return this.open().filter((record) => record.renewedAtMs < sinceMs);
  }

  /** Attempts that may still run or are running. */
  open(): AttemptRecord[] {
    return [...this.#open];
  }

  /**
   * Forgets attempts whose retention is over, save those that `keep` names;
   * returns their request ids.
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

function cancelStateOf(record: AttemptRecord): CancelState {
  if (record.state === AttemptState.Running) return CancelState.Running;
  if (record.state === AttemptState.Finished) return CancelState.Finished;
  return CancelState.NotStarted;
}
