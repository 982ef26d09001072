/**
 * The retry budget: each new request deposits a fraction of a retry token and
 * each retry withdraws a whole one. Retries therefore stay a bounded share of
 * the requests, however many of them fail at once.
 */
import { jitter, type Random } from "@sassafrascleat/runtime";
import {
  MAX_RETRY_BACKOFF_MS,
  RETRY_BACKOFF_MS,
  RETRY_BUDGET_BURST,
} from "./constants.ts";

/** Limits the share of retries and computes their backoff. */
export interface RetryBudget {
  /** Deposits the share of one new request. */
  deposit(): void;
  /** Withdraws one retry; false when the budget is exhausted. */
  withdraw(): boolean;
  /** Jittered wait before the retry that follows `attempt`, in milliseconds. */
  backoffMs(attempt: number): number;
  /** Number of retries that the budget allows now. */
  readonly available: number;
}

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Source of the jitter. */
  random: Random;
  /** Maximum balance in retries, also the initial one. @default 60 */
  burst?: number;
  /** Wait before the first retry, in milliseconds. @default 20 */
  backoffMs?: number;
  /** Longest wait, in milliseconds. @default 1000 */
  maxBackoffMs?: number;
}

/** Creates a budget that adds `ratio` retries for each new request. */
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
