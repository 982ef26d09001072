/**
 * Chooses which waiting requests to serve when not all can be in time, after
 * Moore and Hodgson: requests are taken in the order of their due times, and
 * when one would be late the longest one taken so far is put off. On one
 * machine this keeps the number of late requests smallest. Work of a higher
 * class counts as shorter, and for fairness only customers who were given at
 * least an equal share of the work put one off.
 */
import { RequestClass } from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";

/** What the rule needs to know of a request. */
export interface TimedWork {
  customer: string;
  firstTokenDueMs: number;
  /** Time from the start of the work to the first token, in milliseconds. */
  expectedServiceMs: number;
  /** The part of it during which a server is taken. @default expectedServiceMs */
  workMs?: number;
  requestClass: RequestClass;
}

/** How much shorter the work of a class counts when some has to be put off. */
const CLASS_WEIGHT: Record<RequestClass, number> = {
  [RequestClass.Interactive]: 4,
  [RequestClass.Standard]: 2,
  [RequestClass.Batch]: 1,
};

/** The part of a request during which a server is taken, in milliseconds. */
export function workMsOf(item: TimedWork): number {
  return item.workMs ?? item.expectedServiceMs;
}

function weightedWorkMs(item: TimedWork): number {
  return workMsOf(item) / CLASS_WEIGHT[item.requestClass];
}

/**
 * Those of `waiting`, which is in the order of service, that can be in time
 * when `servers` pieces of work are done at a time.
 */
export function selectInTime<T extends TimedWork>(
  waiting: readonly T[],
  servers: number,
  nowMs: number,
): Set<T> {
  const selected = new SelectedWork<T>();
  for (const item of waiting) {
    selected.add(item);
    while (selected.items.has(item)) {
      const queuedAheadMs = (selected.totalWorkMs - workMsOf(item)) / servers;
      const endMs = nowMs + queuedAheadMs + item.expectedServiceMs;
      if (endMs <= item.firstTokenDueMs) break;
      selected.deferLongest();
    }
  }
  return selected.items;
}

/** The requests kept so far, with the work of each customer. */
class SelectedWork<T extends TimedWork> {
  readonly items = new Set<T>();
  readonly #workMsByCustomer = new Map<string, number>();
  totalWorkMs = 0;

  add(item: T): void {
    this.items.add(item);
    this.#adjustTotals(item, workMsOf(item));
  }

  deferLongest(): void {
    const equalShareMs = this.totalWorkMs / this.#workMsByCustomer.size;
    let longest: T | undefined;
    for (const item of this.items) {
      const customerWorkMs = this.#workMsByCustomer.get(item.customer) ?? 0;
      if (customerWorkMs < equalShareMs - 1e-6) continue;
      if (!longest || weightedWorkMs(item) >= weightedWorkMs(longest)) {
        longest = item;
      }
    }
    invariant(longest !== undefined, "a customer has an equal share or more");
    this.items.delete(longest);
    this.#adjustTotals(longest, -workMsOf(longest));
  }

  #adjustTotals(item: T, deltaMs: number): void {
    const customerWorkMs = (this.#workMsByCustomer.get(item.customer) ?? 0) +
      deltaMs;
    this.totalWorkMs += deltaMs;
    if (customerWorkMs > 1e-6) {
      this.#workMsByCustomer.set(item.customer, customerWorkMs);
    } else this.#workMsByCustomer.delete(item.customer);
  }
}
