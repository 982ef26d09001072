/**
 * Limits how many backend servers a placement decision compares. Fleets have
 * thousands of them, and each waiting request needs tens of decisions. A random
 * sample contains one that is nearly as good as the best of all, and routers
 * that decide at the same time do not all pick the same one.
 */
import type { Random } from "@sassafrascleat/runtime";

/** Maximum number of backend servers that one decision compares. */
export const MAX_CANDIDATES = 48;

/** Returns `items` in random order. */
export function shuffle<T>(items: readonly T[], random: Random): T[] {
  const shuffled = [...items];
  for (let i = shuffled.length - 1; i > 0; i -= 1) {
    const j = random.int(0, i);
    [shuffled[i], shuffled[j]] = [shuffled[j] as T, shuffled[i] as T];
  }
  return shuffled;
}

/** Returns a random sample of `items`, or all of them if they are few. */
export function sampleCandidates<T>(
  items: readonly T[],
  random: Random,
): readonly T[] {
  if (items.length <= MAX_CANDIDATES) return items;
  const chosen = new Set<T>();
  for (let i = 0; i < MAX_CANDIDATES; i += 1) {
    chosen.add(items[random.int(0, items.length - 1)] as T);
  }
  return [...chosen];
}
