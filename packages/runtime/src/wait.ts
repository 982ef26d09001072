/**
 * Waits that end with their owner: every wait takes the abort signal of the
 * task that it belongs to. Nothing here throws on abort; callers look at
 * `signal.aborted` after the wait.
 */
import { setMaxListeners } from "node:events";

/**
 * Lets any number of waits and calls share a signal. Signals of processes and
 * listeners have one listener for each call in progress, which is no leak.
 */
function removeListenerLimit(signal: AbortSignal): void {
  setMaxListeners(0, signal);
}

/** Resolves after `ms`, or at once when `signal` aborts. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const timer = setTimeout(done, ms);
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

/** An abort controller that also aborts with its parent. */
export function childController(parent?: AbortSignal): AbortController {
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
 * A signal that aborts after `ms`, or with `parent`. The timer and the parent
 * hold it; a signal from `AbortSignal.any` over `AbortSignal.timeout` can be
 * collected on Node.js 20 before it fires.
 */
export function deadlineSignal(ms: number, parent?: AbortSignal): AbortSignal {
  const controller = childController(parent);
  const timer = setTimeout(() => controller.abort(), ms);
  timer.unref();
  const stop = () => clearTimeout(timer);
  controller.signal.addEventListener("abort", stop, { once: true });
  return controller.signal;
}

/** Calls `work` every `intervalMs` until `signal` aborts; never overlaps. */
export async function every(
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
