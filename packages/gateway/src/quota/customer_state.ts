/**
 * What one router knows of one customer's quota: what it has admitted, the demand, and the
 * share that it may use while its lease is valid.
 */
import type { CustomerQuota } from "../config/routing_table.ts";
import type { QuotaTolerance } from "./customer_quota.ts";
import { DemandMeter } from "./demand_meter.ts";
import {
  QuotaWindow,
  sharedCapacity,
  type WindowLimit,
  windowLimit,
} from "./quota_window.ts";
import { type Instant, ShareLease } from "./share_lease.ts";

/** What the limit is derived from besides the share. */
export interface QuotaBasis {
  quota: CustomerQuota;
  tolerance: QuotaTolerance;
  routerCount: number;
}

/** A share is acquired for this multiple of the recent demand. */
const DEMAND_MULTIPLE = 1.5;
/** Least share that is worth an entry. */
const MIN_SHARE = 0.01;
/** Largest share that is held for the size of single requests. */
const MAX_SIZE_SHARE = 0.25;
/** A share is acquired when more than this part of the capacity is used. */
const HIGH_USE = 0.75;

/** The state of one customer at one router. */
export class CustomerState {
  readonly lease = new ShareLease();
  readonly demand = new DemandMeter();
  readonly window: QuotaWindow;
  #basis: QuotaBasis;
  #share = 0;
  /** More of the limit was needed since the last exchange of shares. */
  low = false;
  lastUsedMs: number;

  /** Nothing is known of what was admitted before `sinceMs`. */
  constructor(basis: QuotaBasis, sinceMs: number, now: Instant) {
    this.#basis = basis;
    this.lastUsedMs = now.monotonicMs;
    const limit = windowLimit({ ...basis, share: 0 });
    this.window = new QuotaWindow(limit, sinceMs, now.monotonicMs);
  }

  /** The share in force. */
  get share(): number {
    return this.#share;
  }

  /** Applies changed limits. */
  setBasis(basis: QuotaBasis, now: Instant): void {
    const { quota, tolerance, routerCount } = this.#basis;
    const isSame = quota === basis.quota && tolerance === basis.tolerance &&
      routerCount === basis.routerCount;
    if (isSame) return;
    this.#basis = basis;
    this.#apply(now);
  }

  /** Applies a share; a larger one adds no tokens to the bucket. */
  setShare(share: number, now: Instant): void {
    if (share === this.#share) return;
    this.#share = share;
    this.#apply(now);
  }

  /** Counts a request, and takes its cost if there are enough tokens. */
  tryTake(cost: number, now: Instant): boolean {
    const nowMs = now.monotonicMs;
    this.lastUsedMs = nowMs;
    this.demand.add(cost, nowMs);
    const taken = this.window.tryTake(cost, nowMs);
    const { capacity } = this.window.limit;
    if (!taken || this.window.used(nowMs) > HIGH_USE * capacity) {
      this.low = true;
    }
    return taken;
  }

  /** Whether nothing was admitted in the last window. */
  isUnused(nowMs: number): boolean {
    return this.window.used(nowMs) === 0;
  }

  /**
   * The share that the recent demand needs; 0 if it needs none. While others
   * lack some, a router keeps none for callers that may have moved to them.
   */
  wantedShare(nowMs: number, othersLack = false): number {
    const { windowMs } = this.window.limit;
    const demand = othersLack
      ? this.demand.latestPerSecond(nowMs)
      : this.demand.perSecond(nowMs);
    const largest = this.demand.largest(nowMs);
    const perWindow = DEMAND_MULTIPLE * demand * windowMs / 1_000;
    const base = this.limitWith(0).capacity;
    const shared = sharedCapacity(this.#basis);
    const forDemand = (perWindow - base) / shared;
    const forSize = Math.min(MAX_SIZE_SHARE, (largest - base) / shared);
    const share = Math.max(forDemand, forSize);
    return share > 0 ? Math.min(1, Math.max(MIN_SHARE, share)) : 0;
  }

  /**
   * The share that covers what was admitted in the last window. It must not be
   * released, because another router could use it in the same window again.
   */
  usedShare(nowMs: number): number {
    const beyond = this.window.used(nowMs) - this.limitWith(0).capacity;
    return Math.max(0, beyond / sharedCapacity(this.#basis));
  }

  /** The limit with another share. */
  limitWith(share: number): WindowLimit {
    return windowLimit({ ...this.#basis, share });
  }

  #apply({ monotonicMs }: Instant): void {
    this.window.setLimit(this.limitWith(this.#share), monotonicMs);
  }
}
