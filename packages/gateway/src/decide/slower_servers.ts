/**
 * Gives slower servers work in proportion to their speed. If all picks went by
 * the measured latency, a slower server would get none, and a measurement of its
 * first moments would stand for ever.
 */
import type { Random } from "@sassafrascleat/runtime";

/** A server that may be picked. */
export interface RatedServer<T> {
  server: T;
  /** Average latency in milliseconds; 0 without results. */
  latencyMs: number;
  /** Factor on its latency for load, errors and distance. */
  loadFactor: number;
}

/** A server is slower if its latency exceeds the usual one by this share. */
const SLOWER_MARGIN = 0.1;
/** Below this relative speed a server is impaired. */
const MIN_SPEED = 0.4;
/**
 * Power of the speed that the work of an impaired server follows: most of its
 * responses are late, but without any it would never be found to have recovered.
 */
const IMPAIRED_POWER = 3;

/**
 * Returns a slower server in a share of the calls, or undefined if a faster one
 * is to be picked. Only servers compete that are about as little loaded and as
 * near as the best one. `usualMs` is the median latency.
 */
export function pickSlower<T>(
  rated: readonly RatedServer<T>[],
  usualMs: number,
  random: Random,
): T | undefined {
  const limitMs = usualMs * (1 + SLOWER_MARGIN);
  if (rated.every((item) => item.latencyMs <= limitMs)) return undefined;
  const lowest = Math.min(...rated.map((item) => item.loadFactor));
  const competing = rated.filter((item) =>
    item.loadFactor <= lowest * (1 + SLOWER_MARGIN)
  );
  const weights = competing.map((item) => weightOf(item.latencyMs, usualMs));
  let draw = random.float() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [i, item] of competing.entries()) {
    draw -= weights[i] as number;
    if (draw < 0) return item.latencyMs > limitMs ? item.server : undefined;
  }
  return undefined;
}

/** Share of the work of a server of usual speed. */
function weightOf(latencyMs: number, usualMs: number): number {
  const speed = Math.min(1, usualMs / Math.max(1, latencyMs));
  return speed >= MIN_SPEED
    ? speed
    : MIN_SPEED * (speed / MIN_SPEED) ** IMPAIRED_POWER;
}
