/** Polls conditions; tests and benchmarks use this instead of fixed sleeps. */
import { sleep } from "@sassafrascleat/runtime";

/** Polling interval, in milliseconds. */
const POLL_MS = 5;

/** Default timeout, in milliseconds. */
const CONDITION_TIMEOUT_MS = 15_000;

/** Waits until `condition` is true; returns false on timeout. */
export async function until(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = CONDITION_TIMEOUT_MS,
): Promise<boolean> {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await condition()) return true;
    await sleep(POLL_MS);
  }
  return await condition();
}
