/**
 * Chooses which waiting requests to serve when not all can meet their due time,
 * with the Moore-Hodgson algorithm: requests are selected in the order of their
 * due times, and whenever one would be late, the longest request selected so
 * far is deferred. On a single server this minimizes the number of late
 * requests. Work of a higher class counts as shorter. For fairness, only
 * requests of customers with at least an equal share of the selected work are
 * deferred.
 */
import { RequestClass } from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";

/** The properties of a request that the selection uses. */
export interface TimedWork {
  customer: string;
  firstTokenDueMs: number;
  /** Time from the start of the work to the first token, in milliseconds. */
  expectedServiceMs: number;
  /** The part of it during which a server is occupied. @default expectedServiceMs */
  workMs?: number;
  requestClass: RequestClass;
}

/** Divisors of the work of each class when choosing a request to defer. */
const CLASS_WEIGHT: Record<RequestClass, number> = {
  [RequestClass.Interactive]: 4,
  [RequestClass.Standard]: 2,
  [RequestClass.Batch]: 1,
};

/** Returns how long a request occupies a server, in milliseconds. */
export function workMsOf(item: TimedWork): number {
  return item.workMs ?? item.expectedServiceMs;
}

function weightedWorkMs(item: TimedWork): number {
  return workMsOf(item) / CLASS_WEIGHT[item.requestClass];
}

/**
 * Returns the requests of `waiting` that can be in time when `servers` requests
 * are processed in parallel. `waiting` must be sorted in the order of service.
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

/** The requests selected so far and the total work of each customer. */
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
    invariant(
      longest !== undefined,
      "no customer has an equal share of the selected work",
    );
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
