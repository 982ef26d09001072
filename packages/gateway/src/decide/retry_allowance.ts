/**
 * The entry's share of the calls that a service may get beyond the first of
 * each request. All entries share one allowance without talking to each other:
 * each spends a ratio of its own traffic and an equal share of the fixed part.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** Limits of repeated calls over all entries. */
export interface RetryLimits {
  /** Repeated calls for each request. */
  ratio: number;
  /** Repeated calls in each window beyond the ratio, over all entries. */
  slack: number;
  windowMs: number;
}

/** Options of an entry's allowance. */
export interface RetryAllowanceOptions {
  clock: Clock;
  /** What holds now; it may change. */
  limits: () => RetryLimits;
  /** Start of the process, in milliseconds of its clock. */
  startMs: number;
  /** Entries that share the slack. */
  entries: () => number;
}

/** Part of the allowance that is spent, as windows of entries don't align. */
const SPENT_SHARE = 0.7;
/**
 * The same in a process's first window: the life before it may have spent its
 * share, and all entries may have started at once.
 */
const FIRST_SPENT_SHARE = 0.25;

/** Counts requests and repeated calls of one service. */
export class RetryAllowance {
  readonly #options: RetryAllowanceOptions;
  readonly #startMs: number;
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];

  constructor(options: RetryAllowanceOptions) {
    this.#options = options;
    this.#startMs = options.startMs;
  }

  /** Counts a request of a caller. */
  countRequest(): void {
    this.#requests.push(this.#options.clock.now());
  }

  /** Repeated calls that are allowed now. */
  get available(): number {
    const { ratio, slack } = this.#options.limits();
    this.#trim();
    const allowed = ratio * this.#requests.length +
      slack / this.#options.entries();
    return Math.floor(allowed * this.#share()) - this.#repeats.length;
  }

  /** Takes one repeated call; false when none is left. */
  take(): boolean {
    if (this.available < 1) return false;
    this.#repeats.push(this.#options.clock.now());
    return true;
  }

  #share(): number {
    const { clock, limits } = this.#options;
    const first = clock.now() - this.#startMs < limits().windowMs;
    return first ? FIRST_SPENT_SHARE : SPENT_SHARE;
  }

  #trim(): void {
    const { clock, limits } = this.#options;
    const startMs = clock.now() - limits().windowMs;
    dropBefore(this.#requests, startMs);
    dropBefore(this.#repeats, startMs);
  }
}

function dropBefore(times: number[], startMs: number): void {
  let old = 0;
  while (old < times.length && (times[old] as number) < startMs) old += 1;
  if (old > 0) times.splice(0, old);
}
