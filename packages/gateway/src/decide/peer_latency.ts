/**
 * The latency that is usual among the backend servers of a service: the median
 * of the latencies that this router has measured. It stands for a server without
 * results, and tells whether one is slower than its peers.
 */
import type { HealthTracker } from "./backend_health.ts";

/** Most servers that are compared. */
const MAX_PEERS = 48;

/** Returns all of few items, or as many as are compared, evenly spaced. */
export function samplePeers<T>(items: readonly T[]): readonly T[] {
  const step = Math.ceil(items.length / MAX_PEERS);
  return step <= 1 ? items : items.filter((_item, i) => i % step === 0);
}

/**
 * Median of the measured latencies of `keys`, in milliseconds; undefined if none
 * was measured.
 */
export function medianLatencyMs(
  health: HealthTracker,
  keys: readonly string[],
): number | undefined {
  const latencies = keys.map((key) => health.recordOf(key).latencyMs)
    .filter((latencyMs) => latencyMs > 0)
    .sort((a, b) => a - b);
  return latencies[Math.floor((latencies.length - 1) / 2)];
}
