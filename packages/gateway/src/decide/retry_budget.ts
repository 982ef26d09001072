/**
 * Limits the calls that this router may send to a service beyond the first of
 * each request. All routers share one budget without coordination: each uses
 * a ratio of its own traffic and an equal share of the fixed part.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** Limits on repeated calls, over all routers. */
export interface RetryLimits {
  /** Repeated calls per request. */
  ratio: number;
  /** Repeated calls per window in addition to the ratio, over all routers. */
  slack: number;
  windowMs: number;
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  clock: Clock;
  /** Returns the current limits, which may change. */
  limits: () => RetryLimits;
  /** Start of the process, in milliseconds of its clock. */
  startMs: number;
  /** Returns the number of routers that share the slack. */
  routerCount: () => number;
}

/** Used part of the budget, since the routers' windows are not aligned. */
const USABLE_SHARE = 0.7;
/**
 * Used part in the first window of a process: the process before a restart may
 * have spent its share already, and all routers may have started at once.
 */
const FIRST_WINDOW_USABLE_SHARE = 0.25;

/** Counts the requests and repeated calls of one service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #startMs: number;
  readonly #requestTimesMs: number[] = [];
  readonly #retryTimesMs: number[] = [];

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#startMs = options.startMs;
  }

  /** Counts a caller's request. */
  countRequest(): void {
    this.#requestTimesMs.push(this.#options.clock.now());
  }

  /** Number of repeated calls that are allowed now. */
  get available(): number {
    const { ratio, slack } = this.#options.limits();
    this.#dropExpired();
    const allowed = ratio * this.#requestTimesMs.length +
      slack / this.#options.routerCount();
    return Math.floor(allowed * this.#usableShare()) -
      this.#retryTimesMs.length;
  }

  /** Uses one repeated call of the budget; returns false if none is left. */
  tryAcquire(): boolean {
    if (this.available < 1) return false;
    this.#retryTimesMs.push(this.#options.clock.now());
    return true;
  }

  /** Returns one repeated call that was not made. */
  refund(): void {
    this.#retryTimesMs.pop();
  }

  #usableShare(): number {
    const { clock, limits } = this.#options;
    const inFirstWindow = clock.now() - this.#startMs < limits().windowMs;
    return inFirstWindow ? FIRST_WINDOW_USABLE_SHARE : USABLE_SHARE;
  }

  #dropExpired(): void {
    const { clock, limits } = this.#options;
    const windowStartMs = clock.now() - limits().windowMs;
    dropTimesBefore(this.#requestTimesMs, windowStartMs);
    dropTimesBefore(this.#retryTimesMs, windowStartMs);
  }
}

function dropTimesBefore(timesMs: number[], startMs: number): void {
  let expired = 0;
  while (expired < timesMs.length && (timesMs[expired] as number) < startMs) {
    expired += 1;
  }
  if (expired > 0) timesMs.splice(0, expired);
}
