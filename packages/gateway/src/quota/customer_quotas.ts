/**
 * Admits requests against the quotas of their customers. The decision needs no
 * call: each router has a part of each customer's limit, and the shares that
 * these are based on are exchanged in the background.
 */
import {
  type Clock,
  keepRunning,
  type Logger,
  type Random,
} from "@sassafrascleat/runtime";
import type { QuotaCustomer, QuotaTolerance } from "./customer_quota.ts";
import { CustomerState, type QuotaBasis } from "./customer_state.ts";
import { LocalShareLog } from "./local_share_log.ts";
import type { QuotaShareLog } from "./quota_share_log.ts";
import { QuotaShares, type TrackedCustomer } from "./quota_shares.ts";
import { toFixed } from "./share_exchange.ts";
import type { Instant } from "./share_lease.ts";

/** Permission to run one request. */
export interface QuotaGrant {
  /** Returns the cost of a request that wasn't executed. */
  refund(): void;
}

/** The customer is over its quota. */
export interface QuotaRefusal {
  /** Time after which the request would be admitted, in milliseconds. */
  retryAfterMs: number;
}

/** Cost of requests, for metrics. */
export enum QuotaResult {
  Admitted = "admitted",
  Refused = "refused",
  Refunded = "refunded",
}

/** Options of {@link CustomerQuotas}. */
export interface CustomerQuotasOptions {
  clock: Clock;
  /** Returns the wall clock, in milliseconds. @default Date.now */
  wallNow?: () => number;
  log: Logger;
  random: Random;
  /** Name of this router, different from that of all others. */
  routerName: string;
  /**
   * Returns where all routers share out quotas.
   * @default the shares of this router alone
   */
  shareLog?: () => QuotaShareLog;
  /** @default no tolerance */
  tolerance?: QuotaTolerance;
  /** Time in which a change is noticed after a disruption. @default 3000 */
  noticeMs?: number;
  /** The whole deployment starts for the first time. @default false */
  firstStart?: boolean;
  /** Counts the cost of requests. @default not counted */
  count?: (result: QuotaResult, cost: number) => void;
  /** Aborts when the router stops. */
  signal?: AbortSignal;
}

/** Number of routers that is assumed until they are counted. */
const ASSUMED_ROUTERS = 64;
/** Time that acquiring a share takes, in milliseconds. */
const ACQUIRE_MS = 300;
/** Wait if it can't be told when a request would be admitted. */
const UNKNOWN_WAIT_MS = 1_000;
/** Refusals of one customer are logged once in this time. */
const LOG_INTERVAL_MS = 1_000;
const DEFAULT_NOTICE_MS = 3_000;
const NO_TOLERANCE: QuotaTolerance = { windowMs: 0, overRatio: 0, slack: 0 };
const UNLIMITED: QuotaGrant = { refund: () => {} };

/** Refusals of one customer since the last log line. */
interface RefusalLog {
  count: number;
  cost: number;
  loggedMs: number;
}

/** The quotas of all customers at one router. */
export class CustomerQuotas {
  readonly #options: CustomerQuotasOptions;
  readonly #startMs: number;
  readonly #refusals = new WeakMap<CustomerState, RefusalLog>();
  readonly #shares: QuotaShares;
  #tolerance: QuotaTolerance;
  #routerCount = ASSUMED_ROUTERS;
  #started = false;

  constructor(options: CustomerQuotasOptions) {
    this.#options = options;
    this.#tolerance = options.tolerance ?? NO_TOLERANCE;
    // Routers that start together for the first time have spent nothing.
    this.#startMs = options.firstStart ? -Infinity : options.clock.now();
    const local = new LocalShareLog();
    this.#shares = new QuotaShares({
      shareLog: options.shareLog ?? (() => local),
      log: options.log,
      random: options.random,
      routerName: options.routerName,
      now: () => this.#now(),
      noticeMs: options.noticeMs ?? DEFAULT_NOTICE_MS,
      firstStart: options.firstStart ?? false,
    });
  }

  /** Number of customers with a quota that were served lately. */
  get size(): number {
    return this.#shares.size;
  }

  /** Takes the cost of a request from the customer's quota. */
  tryAcquire(
    customer: QuotaCustomer,
    cost: number,
  ): QuotaGrant | QuotaRefusal {
    const { quota } = customer;
    if (!quota || quota.perSecond <= 0 || cost <= 0) return UNLIMITED;
    const now = this.#now();
    const shares = this.#shares;
    const basis = this.#basisOf(quota);
    const tracked = shares.get(customer.name) ??
      shares.track(customer.name, new CustomerState(basis, this.#startMs, now));
    const { state, exchange } = tracked;
    state.setBasis(basis, now);
    exchange.expire();
    const taken = state.tryTake(cost, now);
    this.#start();
    shares.wakeFor(tracked);
    if (!taken) return this.#refuse(customer.name, tracked, cost, now);
    this.#options.count?.(QuotaResult.Admitted, cost);
    return this.#grant(state, cost);
  }

  /** Sets the number of routers that share the limits. */
  setRouterCount(count: number): void {
    this.#routerCount = Math.max(1, count);
  }

  /** Sets the tolerance of all limits. */
  setTolerance(tolerance: QuotaTolerance): void {
    this.#tolerance = tolerance;
  }

  /** Notes that the store was restored from a copy. */
  handleStoreRestored(): void {
    this.#shares.handleStoreRestored();
  }

  #grant(state: CustomerState, cost: number): QuotaGrant {
    let refunded = false;
    return {
      refund: () => {
        if (refunded) return;
        refunded = true;
        state.window.refund(cost, this.#options.clock.now());
        this.#options.count?.(QuotaResult.Refunded, cost);
      },
    };
  }

  #refuse(
    customer: string,
    tracked: TrackedCustomer,
    cost: number,
    now: Instant,
  ): QuotaRefusal {
    const { state, exchange } = tracked;
    const nowMs = now.monotonicMs;
    const wanted = state.wantedShare(nowMs);
    const free = exchange.unallocated ?? wanted;
    const share = Math.max(state.share, Math.min(wanted, state.share + free));
    const expected = state.limitWith(share);
    const waitMs = state.window.promise(cost, nowMs, expected);
    const acquireMs = share > state.share ? ACQUIRE_MS : 0;
    const retryAfterMs = (waitMs ?? UNKNOWN_WAIT_MS) + acquireMs;
    this.#options.count?.(QuotaResult.Refused, cost);
    this.#logRefusal(customer, tracked, cost, retryAfterMs, now);
    return { retryAfterMs };
  }

  #logRefusal(
    customer: string,
    { state }: TrackedCustomer,
    cost: number,
    retryAfterMs: number,
    now: Instant,
  ): void {
    const nowMs = now.monotonicMs;
    const entry = this.#refusals.get(state) ??
      { count: 0, cost: 0, loggedMs: -Infinity };
    this.#refusals.set(state, entry);
    entry.count += 1;
    entry.cost += cost;
    if (nowMs - entry.loggedMs < LOG_INTERVAL_MS) return;
    this.#options.log("over_quota", {
      customer,
      refused: entry.count,
      refused_cost: entry.cost,
      cost,
      share: toFixed(state.share),
      wanted: toFixed(state.wantedShare(nowMs)),
      used: Math.round(state.window.used(nowMs)),
      capacity: Math.round(state.window.limit.capacity),
      share_age_ms: ageOf(state, now),
      back_ms: Math.round(retryAfterMs),
    });
    this.#refusals.set(state, { count: 0, cost: 0, loggedMs: nowMs });
  }

  #basisOf(quota: QuotaBasis["quota"]): QuotaBasis {
    return {
      quota,
      tolerance: this.#tolerance,
      routerCount: this.#routerCount,
    };
  }

  /** Begins the exchange of shares when the first customer needs it. */
  #start(): void {
    if (this.#started) return;
    this.#started = true;
    const { log, signal = new AbortController().signal } = this.#options;
    const run = (until: AbortSignal) => this.#shares.run(until);
    void keepRunning({ name: "quota_shares", log, signal, run });
  }

  #now(): Instant {
    const { clock, wallNow = Date.now } = this.#options;
    return { monotonicMs: clock.now(), wallMs: wallNow() };
  }
}

function ageOf(state: CustomerState, now: Instant): number | undefined {
  const ageMs = state.lease.ageMs(now);
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}
