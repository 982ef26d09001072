/**
 * When a rejected caller should come back. Load pattern: bursts of some
 * seconds. Callers that were rejected together come back spread out, so that
 * they don't make a second burst, and never later than they are able to wait.
 */
import type { Random } from "@sassafrascleat/runtime";

/** Part of its remaining time that a caller is willing to wait. */
const WILLING_SHARE = 0.3;
const SOONEST_MS = 50;

/** The wait before the next try, in milliseconds. */
export function returnAfterMs(
  expectedBusyMs: number,
  remainingMs: number,
  random: Random,
): number {
  const longest = Math.max(SOONEST_MS, remainingMs * WILLING_SHARE);
  const spread = expectedBusyMs * (0.5 + random.float());
  return Math.min(longest, Math.max(SOONEST_MS, spread));
}
