/** Runs asynchronous tasks one at a time. */
import { aborted, childAbortController } from "@sassafrascleat/runtime";

/**
 * A FIFO queue in which each task starts after all earlier ones have settled.
 */
export class SerialQueue {
  #last: Promise<unknown> = Promise.resolve();

  /**
   * Runs `task` once every earlier task has settled and returns its result;
   * returns undefined without running it if `signal` aborts first.
   */
  async run<T>(
    signal: AbortSignal,
    task: () => Promise<T>,
  ): Promise<T | undefined> {
    const before = this.#last;
    let release = () => {};
    const released = new Promise<void>((resolve) => release = resolve);
    this.#last = before.then(() => released);
    const waiting = childAbortController(signal);
    await Promise.race([before, aborted(waiting.signal)]);
    waiting.abort();
    try {
      return signal.aborted ? undefined : await task();
    } finally {
      release();
    }
  }
}
