/**
 * Computes when a rejected caller should retry. Overload comes in bursts of
 * some seconds. Callers that were rejected together get different delays, so
 * that their retries do not cause a second burst, and none is told to wait
 * longer than it can.
 */
import type { Random } from "@sassafrascleat/runtime";

/** Longest wait, as a share of the caller's remaining time. */
const MAX_WAIT_SHARE = 0.3;
const MIN_WAIT_MS = 50;

/**
 * Returns the wait before the retry, in milliseconds: `meanDelayMs` with jitter
 * of up to half of it either way, within the limits above.
 */
export function retryDelayMs(
  meanDelayMs: number,
  remainingMs: number,
  random: Random,
): number {
  const maxMs = Math.max(MIN_WAIT_MS, remainingMs * MAX_WAIT_SHARE);
  const jitteredMs = meanDelayMs * (0.5 + random.float());
  return Math.min(maxMs, Math.max(MIN_WAIT_MS, jitteredMs));
}
