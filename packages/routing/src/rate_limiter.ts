/**
 * Limits by customer: a token bucket for the rate and a count for the requests
 * in progress. Customers that are idle with a full bucket are forgotten.
 */
import { type NotRun, notRun, NotRunReason } from "@sassafrascleat/protocol";
import { MAX_IDLE_CUSTOMERS } from "./constants.ts";

/** The limit of one customer at one entry. */
export interface RateLimit {
  /** Sustained requests a second. */
  requestsPerSecond: number;
  /** Requests that may come at once. */
  burst: number;
  /** Requests in progress. */
  concurrent: number;
}

/** Decides whether a customer may start a request. */
export interface RateLimiter {
  /** Counts a request as started; a `NotRun` refuses it and counts nothing. */
  acquire(
    customer: string,
    limit: RateLimit,
    nowMs: number,
  ): NotRun | undefined;
  /** Counts a request as ended. */
  release(customer: string): void;
}

/** Options of a rate limiter. */
export interface RateLimiterOptions {
  /** Customers remembered before idle ones are forgotten. @default 8192 */
  maxIdleCustomers?: number;
}

interface Bucket {
  tokens: number;
  updatedAtMs: number;
  inProgress: number;
  fullAtMs: number;
}

/** Creates a rate limiter without any history. */
export function createRateLimiter(
  options: RateLimiterOptions = {},
): RateLimiter {
  return new TokenBucketLimiter(options.maxIdleCustomers ?? MAX_IDLE_CUSTOMERS);
}

class TokenBucketLimiter implements RateLimiter {
  readonly #maxIdle: number;
  readonly #buckets = new Map<string, Bucket>();
  #sweepAtSize: number;

  constructor(maxIdle: number) {
    this.#maxIdle = maxIdle;
    this.#sweepAtSize = maxIdle;
  }

  acquire(
    customer: string,
    limit: RateLimit,
    nowMs: number,
  ): NotRun | undefined {
    const bucket = this.#bucketOf(customer, limit, nowMs);
    refill(bucket, limit, nowMs);
    if (bucket.inProgress >= limit.concurrent) {
      return refuse("too many requests in progress for this customer");
    }
    if (bucket.tokens < 1) {
      const missingTokens = 1 - bucket.tokens;
      const waitMs = Math.ceil(missingTokens / limit.requestsPerSecond * 1_000);
      return refuse("too many requests a second for this customer", waitMs);
    }
    bucket.tokens -= 1;
    bucket.inProgress += 1;
    bucket.fullAtMs = nowMs +
      (limit.burst - bucket.tokens) / limit.requestsPerSecond * 1_000;
    return undefined;
  }

  release(customer: string): void {
    const bucket = this.#buckets.get(customer);
    if (bucket && bucket.inProgress > 0) bucket.inProgress -= 1;
  }

  #bucketOf(customer: string, limit: RateLimit, nowMs: number): Bucket {
    let bucket = this.#buckets.get(customer);
    if (bucket) return bucket;
    if (this.#buckets.size >= this.#sweepAtSize) this.#sweep(nowMs);
    bucket = {
      tokens: limit.burst,
      updatedAtMs: nowMs,
      inProgress: 0,
      fullAtMs: nowMs,
    };
    this.#buckets.set(customer, bucket);
    return bucket;
  }

  /** Forgets buckets that equal a new one; the next sweep waits for growth. */
  #sweep(nowMs: number): void {
    for (const [customer, bucket] of this.#buckets) {
      if (bucket.inProgress === 0 && bucket.fullAtMs <= nowMs) {
        this.#buckets.delete(customer);
      }
    }
    this.#sweepAtSize = Math.max(this.#maxIdle, this.#buckets.size * 2);
  }
}

function refill(bucket: Bucket, limit: RateLimit, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const gained = elapsedMs * limit.requestsPerSecond / 1_000;
  bucket.tokens = Math.min(limit.burst, bucket.tokens + gained);
  bucket.updatedAtMs = Math.max(nowMs, bucket.updatedAtMs);
}

function refuse(message: string, retryAfterMs = 1_000): NotRun {
  return notRun(NotRunReason.RateLimited, message, retryAfterMs);
}
