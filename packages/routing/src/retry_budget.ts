/**
 * The retry budget: each new request pays in a share of a retry and each retry
 * takes out a whole one, so that retries stay a bounded share of the work
 * however many requests fail at once.
 */
import { jitter, type Random } from "@sassafrascleat/runtime";
import {
  MAX_RETRY_BACKOFF_MS,
  RETRY_BACKOFF_MS,
  RETRY_BUDGET_BURST,
} from "./constants.ts";

/** Limits the share of retries and spaces them. */
export interface RetryBudget {
  /** Pays in for a new request. */
  deposit(): void;
  /** Takes out one retry; false when the budget is spent. */
  withdraw(): boolean;
  /** Jittered wait before the retry that follows `attempt`, in milliseconds. */
  backoffMs(attempt: number): number;
  /** Retries that the budget would allow now. */
  readonly available: number;
}

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Source of the jitter. */
  random: Random;
  /** Retries that may be saved up, also the start value. @default 60 */
  burst?: number;
  /** Wait before the first retry, in milliseconds. @default 20 */
  backoffMs?: number;
  /** Longest wait, in milliseconds. @default 1000 */
  maxBackoffMs?: number;
}

/** Creates a budget of `ratio` retries for each new request. */
export function createRetryBudget(
  ratio: number,
  options: RetryBudgetOptions,
): RetryBudget {
  return new TokenRetryBudget(ratio, {
    random: options.random,
    burst: options.burst ?? RETRY_BUDGET_BURST,
    backoffMs: options.backoffMs ?? RETRY_BACKOFF_MS,
    maxBackoffMs: options.maxBackoffMs ?? MAX_RETRY_BACKOFF_MS,
  });
}

class TokenRetryBudget implements RetryBudget {
  readonly #ratio: number;
  readonly #options: Required<RetryBudgetOptions>;
  #balance: number;

  constructor(ratio: number, options: Required<RetryBudgetOptions>) {
    this.#ratio = ratio;
    this.#options = options;
    this.#balance = options.burst;
  }

  get available(): number {
    return Math.floor(this.#balance);
  }

  deposit(): void {
    this.#balance = Math.min(this.#options.burst, this.#balance + this.#ratio);
  }

  withdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }

  backoffMs(attempt: number): number {
    const { backoffMs, maxBackoffMs, random } = this.#options;
    const doublings = Math.max(0, attempt - 1);
    const waitMs = Math.min(maxBackoffMs, backoffMs * 2 ** doublings);
    return Math.min(maxBackoffMs, jitter(waitMs, random));
  }
}
