/**
 * Repeats what must succeed in the end, however long that takes. The pauses
 * grow with the time that has passed, and failures are reported at first, when
 * their message changes, and then at growing intervals.
 */
import { systemClock } from "./clock.ts";
import { errorMessage } from "./error.ts";
import { sleep } from "./wait.ts";

/** A failure that is reported. */
export interface RetryFailure {
  message: string;
  attempts: number;
  /** Time since the first attempt, in milliseconds. */
  waitedMs: number;
}

/** Options of {@link retryUntilDone}. */
export interface RetryOptions {
  /** Reports a failure. */
  onFailure: (failure: RetryFailure) => void;
  /** Gives up. */
  signal?: AbortSignal | undefined;
  /** Waits before the next attempt. @default sleep */
  pause?: (ms: number, signal?: AbortSignal) => Promise<void>;
}

/** What an attempt has returned in the end. */
export interface RetryResult<T> {
  value: T;
  attempts: number;
}

const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5_000;
/** Pause as a part of the time that has passed. */
const PAUSE_SHARE = 0.02;
const MIN_REPORT_INTERVAL_MS = 1_000;
const MAX_REPORT_INTERVAL_MS = 60_000;

/** Calls `attempt` until it succeeds; undefined if the signal aborts before. */
export async function retryUntilDone<T>(
  attempt: () => Promise<T> | T,
  options: RetryOptions,
): Promise<RetryResult<T> | undefined> {
  const { signal, pause = sleep } = options;
  const reports = new FailureReports(options.onFailure);
  while (!signal?.aborted) {
    try {
      return { value: await attempt(), attempts: reports.failures + 1 };
    } catch (err) {
      reports.add(errorMessage(err));
    }
    await pause(pauseAfter(reports.waitedMs), signal);
  }
  return undefined;
}

/** The pause after a failure, in milliseconds. */
function pauseAfter(waitedMs: number): number {
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, PAUSE_SHARE * waitedMs));
}

/** Decides which failures are reported. */
class FailureReports {
  readonly #report: (failure: RetryFailure) => void;
  readonly #startMs = systemClock.now();
  #message: string | undefined;
  #intervalMs = MIN_REPORT_INTERVAL_MS;
  #nextMs = 0;
  failures = 0;

  constructor(report: (failure: RetryFailure) => void) {
    this.#report = report;
  }

  get waitedMs(): number {
    return Math.round(systemClock.now() - this.#startMs);
  }

  add(message: string): void {
    this.failures += 1;
    const { waitedMs } = this;
    if (message === this.#message && waitedMs < this.#nextMs) return;
    this.#message = message;
    this.#nextMs = waitedMs + this.#intervalMs;
    this.#intervalMs = Math.min(MAX_REPORT_INTERVAL_MS, this.#intervalMs * 2);
    this.#report({ message, attempts: this.failures, waitedMs });
  }
}
