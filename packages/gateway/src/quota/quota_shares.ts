/**
 * The task that exchanges shares of quotas with the store. Each customer that
 * this router serves is polled, and asked for at once when its limit is nearly used.
 * Only customers with demand or with an entry cost calls; without any there is
 * no timer.
 */
import {
  aborted,
  childAbortController,
  jitter,
  type Logger,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import type { CustomerState } from "./customer_state.ts";
import type { QuotaShareLog } from "./quota_share_log.ts";
import { ShareExchange } from "./share_exchange.ts";
import { type Instant, LEASE_MS } from "./share_lease.ts";

/** Options of {@link QuotaShares}. */
export interface QuotaSharesOptions {
  shareLog: () => QuotaShareLog;
  log: Logger;
  random: Random;
  now: () => Instant;
  /** Name of this router, different from that of all others. */
  routerName: string;
  /** Time in which a change is noticed after a disruption, in milliseconds. */
  noticeMs: number;
  /** No router has run before this one, so none can hold a lost share. */
  firstStart: boolean;
}

/** A customer whose share is exchanged. */
export interface TrackedCustomer {
  state: CustomerState;
  exchange: ShareExchange;
  nextPollMs: number;
  /** No exchange begins before. */
  notBeforeMs: number;
  /** Consecutive exchanges that have failed. */
  failures: number;
  busy: boolean;
}

const POLL_MS = 5_000;
/** The same while other routers have less than they want. */
const CONTENDED_POLL_MS = 2_000;
/** Least time between two exchanges that a high use asks for. */
const URGENT_GAP_MS = 500;
const FAILURE_PAUSE_MS = 100;
/** Longest pause, while the store is unavailable. */
const MAX_FAILURE_PAUSE_MS = 1_000;
const TICK_MS = 100;
const MAX_CONCURRENT = 8;
/** A customer without requests for this long is forgotten. */
const FORGET_MS = 60_000;
/** Clocks may be off by 1 in 100. */
const CLOCK_MARGIN = 1.02;

/** Exchanges the shares of one router. */
export class QuotaShares {
  readonly #options: QuotaSharesOptions;
  readonly #customers = new Map<string, TrackedCustomer>();
  #settledAtMs: number;
  #running = 0;
  #wake = new AbortController();

  constructor(options: QuotaSharesOptions) {
    this.#options = options;
    const { firstStart } = options;
    this.#settledAtMs = firstStart ? -Infinity : this.#settleTime();
  }

  /** Number of customers that were served lately or have an entry. */
  get size(): number {
    return this.#customers.size;
  }

  get(customer: string): TrackedCustomer | undefined {
    return this.#customers.get(customer);
  }

  /** Adds a customer. */
  track(customer: string, state: CustomerState): TrackedCustomer {
    const { shareLog, log, now, routerName } = this.#options;
    const exchange = new ShareExchange({
      customer,
      routerName,
      state,
      shareLog: shareLog(),
      log,
      now,
      isSettled: () => now().monotonicMs >= this.#settledAtMs,
    });
    const tracked = {
      state,
      exchange,
      nextPollMs: now().monotonicMs,
      notBeforeMs: 0,
      failures: 0,
      busy: false,
    };
    this.#customers.set(customer, tracked);
    return tracked;
  }

  /** Begins an exchange now if a customer's limit is nearly used. */
  wakeFor({ state, busy, notBeforeMs }: TrackedCustomer): void {
    if (busy || !state.low) return;
    if (this.#options.now().monotonicMs >= notBeforeMs) this.#wake.abort();
  }

  /**
   * Notes that the store was restored from a copy, which may have lost shares
   * that are in use until their leases end.
   */
  handleStoreRestored(): void {
    this.#settledAtMs = this.#settleTime();
    for (const { exchange } of this.#customers.values()) {
      exchange.handleStoreRestored();
    }
  }

  /** Exchanges shares until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#wake = childAbortController(signal);
      this.tick(signal);
      const isIdle = this.#customers.size === 0;
      if (isIdle) await aborted(this.#wake.signal);
      else await sleep(TICK_MS, this.#wake.signal);
      this.#wake.abort();
    }
  }

  /** Begins the exchanges that are due, and forgets unused customers. */
  tick(signal: AbortSignal): void {
    const nowMs = this.#options.now().monotonicMs;
    for (const [name, tracked] of this.#customers) {
      const { state, exchange, busy } = tracked;
      if (busy) continue;
      exchange.expire();
      const isHeld = state.share > 0 || exchange.hasEntry;
      const isIdle = nowMs - state.lastUsedMs > FORGET_MS;
      if (!isHeld && isIdle && state.isUnused(nowMs)) {
        this.#customers.delete(name);
        continue;
      }
      if (!isHeld && !state.low || nowMs < tracked.notBeforeMs) continue;
      const poll = nowMs >= tracked.nextPollMs;
      if (!poll && !state.low || this.#running >= MAX_CONCURRENT) continue;
      void this.#exchange(tracked, poll, signal);
    }
  }

  async #exchange(
    tracked: TrackedCustomer,
    poll: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { random, now } = this.#options;
    tracked.busy = true;
    this.#running += 1;
    const done = await tracked.exchange.run(poll, signal).finally(() => {
      tracked.busy = false;
      this.#running -= 1;
    });
    const nowMs = now().monotonicMs;
    tracked.failures = done ? 0 : tracked.failures + 1;
    const pauseMs = done
      ? URGENT_GAP_MS
      : Math.min(MAX_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * tracked.failures);
    tracked.notBeforeMs = nowMs + jitter(pauseMs, random);
    const { othersLack } = tracked.exchange;
    const pollMs = othersLack ? CONTENDED_POLL_MS : POLL_MS;
    if (done && poll) tracked.nextPollMs = nowMs + jitter(pollMs, random);
  }

  /**
   * When all shares are recorded again that were in use when the store was
   * restored: those that weren't have expired.
   */
  #settleTime(): number {
    const { now, noticeMs } = this.#options;
    return now().monotonicMs + (LEASE_MS + noticeMs) * CLOCK_MARGIN;
  }
}
