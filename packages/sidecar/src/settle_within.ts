/** Waiting for a promise with a timeout that clears its timer. */
import { childController, sleep } from "@sassafrascleat/runtime";

/**
 * Resolves when `promise` settles, after `ms` milliseconds or when `signal`
 * aborts.
 */
export async function settleWithin(
  promise: Promise<unknown>,
  ms: number,
  signal?: AbortSignal,
): Promise<void> {
  const done = childController(signal);
  await Promise.race([promise, sleep(ms, done.signal)]);
  done.abort();
}
