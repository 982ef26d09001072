/** Bounded waits that leave no timer behind. */
import { childController, sleep } from "@sassafrascleat/runtime";

/** Resolves when `work` has settled, after `ms`, or when `signal` aborts. */
export async function settleWithin(
  work: Promise<unknown>,
  ms: number,
  signal?: AbortSignal,
): Promise<void> {
  const done = childController(signal);
  await Promise.race([work, sleep(ms, done.signal)]);
  done.abort();
}
