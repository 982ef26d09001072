/**
 * Abortable waits: each takes the abort signal of the task that waits. Waits do
 * not throw on abort; callers check `signal.aborted` afterwards.
 */
import { setMaxListeners } from "node:events";

/**
 * Removes the limit on the number of listeners of a signal. The signal of a
 * process or server has one listener for each call in progress, so Node.js would
 * warn about a memory leak that does not exist.
 */
function removeListenerLimit(signal: AbortSignal): void {
  setMaxListeners(0, signal);
}

/**
 * Longest delay of a timer, in milliseconds, some 24 days. A longer one would
 * fire at once.
 */
export const MAX_TIMER_MS = 2 ** 31 - 1;
/**
 * Longest duration that settings and configurations may name, in milliseconds;
 * the sum of several still fits a timer.
 */
export const MAX_DURATION_MS = 24 * 60 * 60 * 1_000;

/** Resolves after `ms`, or as soon as `signal` aborts. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const timer = setTimeout(done, Math.min(ms, MAX_TIMER_MS));
    function done() {
      clearTimeout(timer);
      signal?.removeEventListener("abort", done);
      resolve();
    }
    if (!signal) return;
    removeListenerLimit(signal);
    signal.addEventListener("abort", done, { once: true });
  });
}

/** Resolves when `signal` aborts. */
export function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}

/** Returns an abort controller that also aborts when its parent does. */
export function childAbortController(parent?: AbortSignal): AbortController {
  const controller = new AbortController();
  if (!parent) return controller;
  if (parent.aborted) {
    controller.abort(parent.reason);
    return controller;
  }
  const onAbort = () => controller.abort(parent.reason);
  removeListenerLimit(parent);
  parent.addEventListener("abort", onAbort, { once: true });
  controller.signal.addEventListener(
    "abort",
    () => parent.removeEventListener("abort", onAbort),
    { once: true },
  );
  return controller;
}

/**
 * Returns a signal that aborts after `ms` or when `parent` does. The timer and
 * the parent keep a reference to it. On Node.js 20 a signal from
 * `AbortSignal.any` over `AbortSignal.timeout` can be garbage-collected before
 * it fires.
 */
export function deadlineSignal(ms: number, parent?: AbortSignal): AbortSignal {
  const controller = childAbortController(parent);
  const timer = setTimeout(
    () => controller.abort(),
    Math.min(ms, MAX_TIMER_MS),
  );
  timer.unref();
  const stop = () => clearTimeout(timer);
  controller.signal.addEventListener("abort", stop, { once: true });
  return controller.signal;
}

/**
 * Calls `task` until `signal` aborts, each time `intervalMs` after the previous
 * call has completed; calls never overlap.
 */
export async function runPeriodically(
  intervalMs: number,
  signal: AbortSignal,
  task: () => Promise<void> | void,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(intervalMs, signal);
    if (signal.aborted) return;
    await task();
  }
}
