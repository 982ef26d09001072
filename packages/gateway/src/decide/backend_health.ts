/**
 * Health of backend servers by the gateway's own results. Load pattern: a
 * backend server that fails part of its requests, or all of them, while its
 * health check and its entry in the store are good. One that fails several
 * times in a row, or far more often than its peers, gets no work for a while;
 * the time doubles while it goes on failing.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** How a call to a backend server ended, as far as its health goes. */
export enum CallVerdict {
  Good = "good",
  /** It answered, but with an error of its own. */
  Error = "error",
  /** No answer, or a spoiled one. */
  Silent = "silent",
  /** It proved that it did not run the request. */
  Shed = "shed",
}

/** What the gateway has seen of one backend server. */
export interface HealthRecord {
  /** Share of recent calls that failed, 0 to 1. */
  errorRate: number;
  /** Recent time to an answer, in milliseconds. */
  latencyMs: number;
  /** Calls that were never answered, one after another. */
  silentInRow: number;
  /** No work before this time, in milliseconds of the process clock. */
  ejectedUntilMs: number;
  /** Ejections one after another. */
  ejections: number;
  /** Calls judged so far. */
  calls: number;
}

/** Calls over which the error rate is averaged. */
const ERROR_WINDOW_CALLS = 12;
/** Calls over which the latency is averaged. */
const LATENCY_WINDOW_CALLS = 16;
const MIN_CALLS_TO_JUDGE = 6;
const SILENT_IN_ROW_LIMIT = 2;
/** Error rate above that of the peers at which a backend server is ejected. */
const ERROR_RATE_MARGIN = 0.25;
const FIRST_EJECTION_MS = 1_000;
const LONGEST_EJECTION_MS = 8_000;

/** Owner of the health records, by incarnation. */
export class HealthBook {
  readonly #clock: Clock;
  readonly #records = new Map<string, HealthRecord>();
  /** Ends of planned times without work, by incarnation. */
  readonly #asideUntil = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The record of one incarnation. */
  of(key: string): HealthRecord {
    const known = this.#records.get(key);
    if (known) return known;
    const fresh: HealthRecord = {
      errorRate: 0,
      latencyMs: 0,
      silentInRow: 0,
      ejectedUntilMs: -Infinity,
      ejections: 0,
      calls: 0,
    };
    this.#records.set(key, fresh);
    return fresh;
  }

  /** True when the backend server gets work now. */
  usable(key: string): boolean {
    const nowMs = this.#clock.now();
    if ((this.#asideUntil.get(key) ?? nowMs) > nowMs) return false;
    const record = this.#records.get(key);
    return !record || record.ejectedUntilMs <= nowMs;
  }

  /**
   * Takes in one result; true when it ejects the backend server. `peers` names
   * others of its service, and is asked only for a failure.
   */
  record(
    key: string,
    verdict: CallVerdict,
    latencyMs: number,
    peers: () => readonly string[],
  ): boolean {
    const record = this.of(key);
    if (verdict === CallVerdict.Shed) return false;
    record.calls += 1;
    const failed = verdict !== CallVerdict.Good;
    const sample = failed ? 1 : 0;
    record.errorRate += (sample - record.errorRate) / ERROR_WINDOW_CALLS;
    if (verdict === CallVerdict.Silent) record.silentInRow += 1;
    else record.silentInRow = 0;
    if (!failed) this.#recordGood(record, latencyMs);
    if (!failed || !this.#mustEject(key, record, peers)) return false;
    this.#eject(record);
    return true;
  }

  /** Ejects a backend server that is known to be out of reach. */
  eject(key: string): void {
    const record = this.of(key);
    if (record.ejectedUntilMs <= this.#clock.now()) this.#eject(record);
  }

  /**
   * Another backend server answers at the address of this one: it gets no work
   * until the store lists it anew.
   */
  replaced(key: string): void {
    this.of(key).ejectedUntilMs = Infinity;
  }

  /** The backend server takes no work for a while, through no fault. */
  setAside(key: string, forMs: number): void {
    this.#asideUntil.set(key, this.#clock.now() + forMs);
  }

  /** The backend server takes work again sooner than it was to. */
  takeBack(key: string): void {
    this.#asideUntil.delete(key);
  }

  /** Forgets an incarnation that is gone. */
  forget(key: string): void {
    this.#records.delete(key);
    this.#asideUntil.delete(key);
  }

  #recordGood(record: HealthRecord, latencyMs: number): void {
    record.ejections = 0;
    if (record.latencyMs === 0) record.latencyMs = latencyMs;
    record.latencyMs += (latencyMs - record.latencyMs) / LATENCY_WINDOW_CALLS;
  }

  #mustEject(
    key: string,
    record: HealthRecord,
    peers: () => readonly string[],
  ): boolean {
    if (record.ejectedUntilMs > this.#clock.now()) return false;
    if (record.silentInRow >= SILENT_IN_ROW_LIMIT) return true;
    if (record.calls < MIN_CALLS_TO_JUDGE) return false;
    const rates = peers()
      .filter((peer) => peer !== key)
      .map((peer) => this.of(peer).errorRate);
    const usual = rates.length > 0 ? Math.min(...rates) : 1;
    return record.errorRate > usual + ERROR_RATE_MARGIN;
  }

  #eject(record: HealthRecord): void {
    const forMs = FIRST_EJECTION_MS * 2 ** record.ejections;
    record.ejectedUntilMs = this.#clock.now() +
      Math.min(LONGEST_EJECTION_MS, forMs);
    record.ejections += 1;
    record.errorRate /= 2;
    record.silentInRow = 0;
  }
}
