/**
 * Passive health checks: judges backend servers by the results of this router's
 * calls. This detects a backend server that fails some or all of its requests
 * although its health check passes and the store lists it as ready. One that
 * leaves several calls in a row without a response, or fails far more often
 * than its peers, is ejected for a while; the ejection time doubles while it
 * keeps failing. One that is merely silent may be standing still: it gets no
 * work until it responds, and counts as sound then.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** Outcome of a call, as it counts for the health of the backend server. */
export enum CallOutcome {
  Good = "good",
  /** The backend server responded with an error that it caused itself. */
  Error = "error",
  /** No response, or an unusable one such as an interrupted stream. */
  NoResponse = "silent",
  /** The backend server proved that it did not execute the request. */
  NotExecuted = "shed",
}

/** Health statistics of one backend server, from this router's calls. */
export interface HealthRecord {
  /** Moving average of the share of failed calls, 0 to 1. */
  errorRate: number;
  /** Moving average of the time to a good response, in milliseconds. */
  latencyMs: number;
  /** Consecutive calls without a usable response. */
  consecutiveNoResponses: number;
  /** No calls before this time, in milliseconds of the process clock. */
  ejectedUntilMs: number;
  /** Ejections since the last good response. */
  consecutiveEjections: number;
  /** Calls counted so far, without those that were not executed. */
  calls: number;
}

/** Calls over which the error rate is averaged. */
const ERROR_WINDOW_CALLS = 12;
/** Calls over which the latency is averaged. */
const LATENCY_WINDOW_CALLS = 16;
const MIN_CALLS_TO_JUDGE = 6;
const CONSECUTIVE_NO_RESPONSES_LIMIT = 2;
/** Excess over the lowest error rate of the peers that leads to an ejection. */
const ERROR_RATE_MARGIN = 0.25;
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;

/** Keeps the health records of backend servers, by incarnation. */
export class HealthTracker {
  readonly #clock: Clock;
  readonly #records = new Map<string, HealthRecord>();
  /** Ends of planned suspensions, by incarnation. */
  readonly #suspendedUntilMs = new Map<string, number>();
  /** Until when silent backend servers are waited for, by incarnation. */
  readonly #silentUntilMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the record of an incarnation, created on first use. */
  recordOf(key: string): HealthRecord {
    const known = this.#records.get(key);
    if (known) return known;
    const fresh: HealthRecord = {
      errorRate: 0,
      latencyMs: 0,
      consecutiveNoResponses: 0,
      ejectedUntilMs: -Infinity,
      consecutiveEjections: 0,
      calls: 0,
    };
    this.#records.set(key, fresh);
    return fresh;
  }

  /** Whether the backend server is neither suspended, ejected nor silent. */
  isUsable(key: string): boolean {
    const nowMs = this.#clock.now();
    if (this.isSilent(key)) return false;
    if ((this.#suspendedUntilMs.get(key) ?? nowMs) > nowMs) return false;
    const record = this.#records.get(key);
    return !record || record.ejectedUntilMs <= nowMs;
  }

  /**
   * Records the outcome of one call and returns whether it ejects the backend
   * server. `peers` lists the backend servers of the same service; it is called
   * only for a failed call. The latency is averaged over `latencyWindow` calls;
   * `Infinity` leaves it out. @default 16
   */
  record(
    key: string,
    outcome: CallOutcome,
    latencyMs: number,
    peers: () => readonly string[],
    latencyWindow = LATENCY_WINDOW_CALLS,
  ): boolean {
    const record = this.recordOf(key);
    if (outcome === CallOutcome.NotExecuted) return false;
    record.calls += 1;
    const failed = outcome !== CallOutcome.Good;
    const sample = failed ? 1 : 0;
    record.errorRate += (sample - record.errorRate) / ERROR_WINDOW_CALLS;
    if (outcome === CallOutcome.NoResponse) record.consecutiveNoResponses += 1;
    else record.consecutiveNoResponses = 0;
    if (!failed) this.#recordSuccess(record, latencyMs, latencyWindow);
    if (!failed || !this.#shouldEject(key, record, peers)) return false;
    this.#eject(record);
    return true;
  }

  /** Ejects a backend server that is known to be unreachable. */
  eject(key: string): void {
    const record = this.recordOf(key);
    if (record.ejectedUntilMs <= this.#clock.now()) this.#eject(record);
  }

  /**
   * Excludes a backend server whose address now belongs to another one, until
   * the store lists it again.
   */
  excludeReplaced(key: string): void {
    this.recordOf(key).ejectedUntilMs = Infinity;
  }

  /** Suspends calls to a backend server that has not failed. */
  suspend(key: string, forMs: number): void {
    this.#suspendedUntilMs.set(key, this.#clock.now() + forMs);
  }

  /** Excludes a silent backend server until it responds, for `forMs` at most. */
  markSilent(key: string, forMs: number): void {
    this.#silentUntilMs.set(key, this.#clock.now() + forMs);
  }

  /** Whether the backend server is excluded because it is silent. */
  isSilent(key: string): boolean {
    const untilMs = this.#silentUntilMs.get(key);
    return untilMs !== undefined && untilMs > this.#clock.now();
  }

  /** Records that a backend server has responded. */
  markResponsive(key: string): void {
    this.#silentUntilMs.delete(key);
  }

  /** Ends a suspension early. */
  resume(key: string): void {
    this.#suspendedUntilMs.delete(key);
  }

  /** Deletes the state of an incarnation that has been removed. */
  forget(key: string): void {
    this.#records.delete(key);
    this.#suspendedUntilMs.delete(key);
    this.#silentUntilMs.delete(key);
  }

  #recordSuccess(
    record: HealthRecord,
    latencyMs: number,
    latencyWindow: number,
  ): void {
    record.consecutiveEjections = 0;
    if (latencyWindow === Infinity) return;
    if (record.latencyMs === 0) record.latencyMs = latencyMs;
    record.latencyMs += (latencyMs - record.latencyMs) / latencyWindow;
  }

  #shouldEject(
    key: string,
    record: HealthRecord,
    peers: () => readonly string[],
  ): boolean {
    if (record.ejectedUntilMs > this.#clock.now()) return false;
    if (record.consecutiveNoResponses >= CONSECUTIVE_NO_RESPONSES_LIMIT) {
      return true;
    }
    if (record.calls < MIN_CALLS_TO_JUDGE) return false;
    const rates = peers()
      .filter((peer) => peer !== key)
      .map((peer) => this.recordOf(peer).errorRate);
    const lowestPeerRate = rates.length > 0 ? Math.min(...rates) : 1;
    return record.errorRate > lowestPeerRate + ERROR_RATE_MARGIN;
  }

  #eject(record: HealthRecord): void {
    const durationMs = BASE_EJECTION_MS * 2 ** record.consecutiveEjections;
    record.ejectedUntilMs = this.#clock.now() +
      Math.min(MAX_EJECTION_MS, durationMs);
    record.consecutiveEjections += 1;
    record.errorRate /= 2;
    record.consecutiveNoResponses = 0;
  }
}
