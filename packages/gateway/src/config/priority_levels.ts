/**
 * The priorities of requests where customers have priorities of their own. A
 * customer's priority goes before the route's; of customers with the same
 * priority, the more urgent route goes first. The combinations that occur in a
 * configuration become at most ten levels, by which this router orders the
 * requests that wait for decode memory. Backend servers get the priority of the
 * customer or else of the route itself.
 */
import type { Customer, Route } from "./routing_table.ts";

/** The least urgent level. */
const MAX_LEVEL = 9;

/** Levels of one version of the configuration; 0 is the most urgent. */
export class PriorityLevels {
  readonly #levelOf = new Map<string, number>();

  constructor(routes: readonly Route[], customers: readonly Customer[]) {
    const ofCustomers = new Set(customers.map(({ priority }) => priority));
    const pairs = routes.flatMap((route) =>
      [undefined, ...ofCustomers].map((own) => pairOf(route, own))
    );
    pairs.sort(([a, b], [c, d]) => a - c || b - d);
    const keys = [...new Set(pairs.map(String))];
    const step = Math.min(1, MAX_LEVEL / Math.max(1, keys.length - 1));
    keys.forEach((key, index) =>
      this.#levelOf.set(key, Math.floor(index * step))
    );
  }

  /** Level of a request on `route` by a customer, or by none. */
  levelOf(route: Route, customer?: Customer): number {
    const pair = pairOf(route, customer?.priority);
    return this.#levelOf.get(String(pair)) ?? MAX_LEVEL;
  }
}

function pairOf(route: Route, own = route.priority): [number, number] {
  return [own, route.priority];
}
