/**
 * What one customer may use at one router in any window: a part of the limit of
 * all routers, with its burst and tolerance. A request may cost as much as a
 * customer's limit in a tenth of a second, so each router needs room for several;
 * a token bucket would keep most of its part as a rate, which requests that
 * arrive at random can't use.
 */
import type { CustomerQuota } from "../config/routing_table.ts";
import type { QuotaTolerance } from "./customer_quota.ts";

/**
 * Part of the limit that all routers divide equally, while there are few. Callers
 * of a customer that reach all routers are mostly served without any call then.
 */
const MAX_EQUAL_PART = 0.8;
/** Beyond this number of routers the equal part falls. */
const EQUAL_PART_ROUTERS = 32;
/** Part of the limit that is used; the rest is for routers not counted yet. */
const USED_PART = 0.95;
/** Window of quotas whose tolerance names none, in milliseconds. */
const DEFAULT_WINDOW_MS = 1_000;
/** Added to the window, for clocks that run fast by 1 in 100. */
const CLOCK_MARGIN = 1.02;
/** Parts in which what was used is counted and expires. */
const SLOTS = 16;

/** What the limit of one router is derived from. */
export interface WindowInputs {
  quota: CustomerQuota;
  tolerance: QuotaTolerance;
  /** Share of the limit that this router holds, from 0 to 1. */
  share: number;
  routerCount: number;
}

/** Limit of one router. */
export interface WindowLimit {
  /** Cost that may be admitted in any window. */
  capacity: number;
  windowMs: number;
  /** A request beyond the capacity passes if nothing else was admitted. */
  hasShare: boolean;
}

/** Falls with the number of routers: each part would be less than a request. */
function equalPart(routerCount: number): number {
  return MAX_EQUAL_PART * Math.min(1, EQUAL_PART_ROUTERS / routerCount);
}

/** The cost of all routers that the shares in the store divide. */
export function sharedCapacity(inputs: Omit<WindowInputs, "share">): number {
  return (1 - equalPart(inputs.routerCount)) * totalCapacity(inputs);
}

function totalCapacity(
  { quota, tolerance }: Omit<WindowInputs, "share">,
): number {
  const windowMs = tolerance.windowMs || DEFAULT_WINDOW_MS;
  const perWindow = quota.perSecond * windowMs / 1000 + quota.burst;
  return USED_PART * (perWindow * (1 + tolerance.overRatio) + tolerance.slack);
}

/** Computes the limit of a router. */
export function windowLimit(inputs: WindowInputs): WindowLimit {
  const { tolerance, share, routerCount } = inputs;
  const equal = equalPart(routerCount) / routerCount;
  return {
    capacity: equal * totalCapacity(inputs) + share * sharedCapacity(inputs),
    windowMs: tolerance.windowMs || DEFAULT_WINDOW_MS,
    hasShare: share > 0,
  };
}

/** What was admitted in the last window, and the limit of it. */
export class QuotaWindow {
  /** Cost by slot; the current one is not complete. */
  readonly #costs = new Array<number>(SLOTS + 1).fill(0);
  readonly #sinceMs: number;
  #slot = 0;
  #limit: WindowLimit;
  /** Cost of rejected requests whose callers were told when to return. */
  #promised = 0;

  /**
   * Nothing is known of what was admitted before `sinceMs`: as much as the limit
   * allows, evenly over the time. Use -Infinity if it was nothing.
   */
  constructor(limit: WindowLimit, sinceMs: number, nowMs: number) {
    this.#limit = limit;
    this.#sinceMs = sinceMs;
    this.#slot = this.#slotAt(nowMs);
    this.#addUnknown(limit.capacity, nowMs);
  }

  get limit(): WindowLimit {
    return this.#limit;
  }

  /** Cost that was admitted in the last window. */
  used(nowMs: number): number {
    this.#expire(nowMs);
    return this.#costs.reduce((sum, cost) => sum + cost, 0);
  }

  /** Cost that may be admitted now; negative after a limit was lowered. */
  available(nowMs: number): number {
    return this.#limit.capacity - this.used(nowMs);
  }

  setLimit(limit: WindowLimit, nowMs: number): void {
    this.#expire(nowMs);
    this.#addUnknown(limit.capacity - this.#limit.capacity, nowMs);
    this.#limit = limit;
  }

  /** Counts the cost of a request; false if it is beyond the limit. */
  tryTake(cost: number, nowMs: number): boolean {
    const used = this.used(nowMs);
    const { capacity, hasShare } = this.#limit;
    const fits = used + cost <= capacity || hasShare && used === 0;
    if (cost > 0 && !fits) return false;
    this.#costs[this.#index(0)] = (this.#costs[this.#index(0)] ?? 0) + cost;
    return true;
  }

  /** Gives back the cost of a request that wasn't executed. */
  refund(cost: number, nowMs: number): void {
    this.#expire(nowMs);
    let left = cost;
    for (let age = 0; age <= SLOTS && left > 0; age += 1) {
      const index = this.#index(age);
      const taken = Math.min(left, this.#costs[index] ?? 0);
      this.#costs[index] = (this.#costs[index] ?? 0) - taken;
      left -= taken;
    }
  }

  /**
   * Time until a rejected request is admitted with the `expected` limit, after
   * those that were rejected before it. Undefined if that never happens.
   */
  promise(
    cost: number,
    nowMs: number,
    expected: WindowLimit,
  ): number | undefined {
    const { capacity, hasShare } = expected;
    if (cost > capacity && !hasShare) return undefined;
    let missing = this.used(nowMs) + Math.min(cost, capacity) - capacity +
      this.#promised;
    this.#promised += cost;
    if (missing <= 0) return 0;
    for (let age = SLOTS; age >= 0; age -= 1) {
      missing -= this.#costs[this.#index(age)] ?? 0;
      if (missing <= 0) return this.#expiryMs(age) - nowMs;
    }
    return this.#expiryMs(0) - nowMs;
  }

  /** Counts what may have been admitted before anything was known, evenly. */
  #addUnknown(capacity: number, nowMs: number): void {
    const unknownMs = this.#limit.windowMs - (nowMs - this.#sinceMs);
    if (capacity <= 0 || unknownMs <= 0) return;
    const slots = Math.ceil(unknownMs / this.#slotMs);
    const firstAge = SLOTS - slots + 1;
    for (let age = Math.max(0, firstAge); age < firstAge + slots; age += 1) {
      const index = this.#index(age);
      this.#costs[index] = (this.#costs[index] ?? 0) + capacity / SLOTS;
    }
  }

  get #slotMs(): number {
    return this.#limit.windowMs * CLOCK_MARGIN / SLOTS;
  }

  #slotAt(nowMs: number): number {
    return Math.floor(nowMs / this.#slotMs);
  }

  /** Index of the slot that is so many slots older than the current one. */
  #index(age: number): number {
    const count = SLOTS + 1;
    return ((this.#slot - age) % count + count) % count;
  }

  /** When the slot of this age no longer counts, by the clock. */
  #expiryMs(age: number): number {
    return (this.#slot - age + SLOTS + 1) * this.#slotMs;
  }

  #expire(nowMs: number): void {
    const slot = this.#slotAt(nowMs);
    const passed = Math.min(SLOTS + 1, slot - this.#slot);
    if (passed <= 0) return;
    this.#slot = slot;
    let expired = 0;
    for (let age = 0; age < passed; age += 1) {
      expired += this.#costs[this.#index(age)] ?? 0;
      this.#costs[this.#index(age)] = 0;
    }
    this.#promised = Math.max(0, this.#promised - expired);
  }
}
