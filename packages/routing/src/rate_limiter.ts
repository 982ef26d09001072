/**
 * Per-customer limits: a token bucket for the request rate and a counter for
 * the requests in progress. The state of a customer that is idle with a full
 * bucket is dropped once many customers are tracked.
 */
import { type NotRun, notRun, NotRunReason } from "@sassafrascleat/protocol";
import { MAX_IDLE_CUSTOMERS } from "./constants.ts";

/** The limits of one customer at one entry process. */
export interface RateLimit {
  /** Sustained request rate, in requests per second. */
  requestsPerSecond: number;
  /** Bucket size: requests that may arrive at once. */
  burst: number;
  /** Maximum number of requests in progress. */
  concurrent: number;
}

/** Decides whether a customer may start a request. */
export interface RateLimiter {
  /** Counts a request as started; returns a `NotRun` and counts nothing if it is over a limit. */
  acquire(
    customer: string,
    limit: RateLimit,
    nowMs: number,
  ): NotRun | undefined;
  /** Counts a request as finished. */
  release(customer: string): void;
}

/** Options of a rate limiter. */
export interface RateLimiterOptions {
  /** Tracked customers above which idle ones are dropped. @default 8192 */
  maxIdleCustomers?: number;
}

interface Bucket {
  tokens: number;
  updatedAtMs: number;
  inProgress: number;
  fullAtMs: number;
}

/** Creates a rate limiter in which every customer has a full bucket. */
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
      return refuse("too many requests per second for this customer", waitMs);
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

  /**
   * Drops buckets that are full and idle, and therefore equal to a new one. The
   * next sweep runs when the number of buckets has doubled, but not below
   * `maxIdleCustomers`.
   */
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
