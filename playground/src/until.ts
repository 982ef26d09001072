/** Waits for conditions, which tests and benches use in place of sleeps. */
import { sleep } from "@sassafrascleat/runtime";

/** Interval between two looks at a condition, in milliseconds. */
const POLL_MS = 5;

/** Longest wait for a condition, in milliseconds. */
const CONDITION_TIMEOUT_MS = 15_000;

/** Waits until `holds` is true; false when it was not in time. */
export async function until(
  holds: () => boolean | Promise<boolean>,
  timeoutMs = CONDITION_TIMEOUT_MS,
): Promise<boolean> {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await holds()) return true;
    await sleep(POLL_MS);
  }
  return await holds();
}
