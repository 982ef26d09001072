/** Waiting for a promise with a timeout that clears its timer. */
import { childAbortController, sleep } from "@sassafrascleat/runtime";

/**
 * Resolves when `promise` settles, after `ms` milliseconds or when `signal`
 * aborts.
 */
export async function settleWithin(
  promise: Promise<unknown>,
  ms: number,
  signal?: AbortSignal,
): Promise<void> {
  const done = childAbortController(signal);
  await Promise.race([promise, sleep(ms, done.signal)]);
  done.abort();
}
