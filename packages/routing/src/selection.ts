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
export function workOf(item: TimedWork): number {
  return item.workMs ?? item.expectedServiceMs;
}

function weighted(item: TimedWork): number {
  return workOf(item) / CLASS_WEIGHT[item.requestClass];
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
  const kept = new KeptWork<T>();
  for (const item of waiting) {
    kept.add(item);
    while (kept.items.has(item)) {
      const aheadMs = (kept.totalMs - workOf(item)) / servers;
      const endMs = nowMs + aheadMs + item.expectedServiceMs;
      if (endMs <= item.firstTokenDueMs) break;
      kept.putOffLongest();
    }
  }
  return kept.items;
}

/** The requests kept so far, with the work of each customer. */
class KeptWork<T extends TimedWork> {
  readonly items = new Set<T>();
  readonly #workOfCustomer = new Map<string, number>();
  totalMs = 0;

  add(item: T): void {
    this.items.add(item);
    this.#count(item, workOf(item));
  }

  putOffLongest(): void {
    const shareMs = this.totalMs / this.#workOfCustomer.size;
    let longest: T | undefined;
    for (const item of this.items) {
      const given = this.#workOfCustomer.get(item.customer) ?? 0;
      if (given < shareMs - 1e-6) continue;
      if (!longest || weighted(item) >= weighted(longest)) longest = item;
    }
    invariant(longest !== undefined, "a customer has an equal share or more");
    this.items.delete(longest);
    this.#count(longest, -workOf(longest));
  }

  #count(item: T, changeMs: number): void {
    const given = (this.#workOfCustomer.get(item.customer) ?? 0) + changeMs;
    this.totalMs += changeMs;
    if (given > 1e-6) this.#workOfCustomer.set(item.customer, given);
    else this.#workOfCustomer.delete(item.customer);
  }
}
