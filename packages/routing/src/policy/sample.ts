/** Samples a pool, so that the cost of a placement decision is bounded. */
import { rendezvousRank } from "@sassafrascleat/runtime";

/**
 * Returns at most `size` elements of `pool`. The start position and the stride
 * are derived from `key`, so that requests with different keys rarely compare
 * the same backend servers.
 */
export function samplePool<T>(
  key: string,
  pool: readonly T[],
  size: number,
): readonly T[] {
  if (pool.length === 0) return pool;
  const hash = rendezvousRank(key, "sample");
  const count = Math.min(size, pool.length);
  const stride = pool.length <= size
    ? 1
    : coprimeStride(hash >>> 8, pool.length);
  const sample: T[] = [];
  for (let i = 0, at = hash % pool.length; i < count; i++) {
    sample.push(pool[at]!);
    at = (at + stride) % pool.length;
  }
  return sample;
}

/** Returns a stride below `length` that visits every position before repeating. */
function coprimeStride(hash: number, length: number): number {
  let stride = 1 + hash % (length - 1);
  while (greatestCommonDivisor(stride, length) !== 1) stride += 1;
  return stride;
}

function greatestCommonDivisor(a: number, b: number): number {
  while (b !== 0) [a, b] = [b, a % b];
  return a;
}
