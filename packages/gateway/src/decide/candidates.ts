/**
 * Which backend servers a decision looks at. Load pattern: fleets of thousands,
 * and tens of decisions for each request that waits. A sample finds one that is
 * nearly as good as the best of all, and entries that choose at the same time
 * don't all find the same one.
 */
import type { Random } from "@sassafrascleat/runtime";

/** Backend servers that one decision compares at the most. */
export const MOST_CANDIDATES = 48;

/** All of `items` when they are few, a random part of them otherwise. */
export function candidatesOf<T>(
  items: readonly T[],
  random: Random,
): readonly T[] {
  if (items.length <= MOST_CANDIDATES) return items;
  const chosen = new Set<T>();
  for (let i = 0; i < MOST_CANDIDATES; i += 1) {
    chosen.add(items[random.int(0, items.length - 1)] as T);
  }
  return [...chosen];
}
