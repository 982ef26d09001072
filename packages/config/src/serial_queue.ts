/** Lets callers of one object run one after the other. */
import { aborted, childController } from "@sassafrascleat/runtime";

/** A queue of callers; each waits until all before it have ended. */
export class SerialQueue {
  #last: Promise<unknown> = Promise.resolve();

  /**
   * Runs `work` when every earlier caller has ended, and hands back its value;
   * undefined when `signal` aborts before that.
   */
  async run<T>(
    signal: AbortSignal,
    task: () => Promise<T>,
  ): Promise<T | undefined> {
    const before = this.#last;
    let release = () => {};
    const released = new Promise<void>((resolve) => release = resolve);
    this.#last = before.then(() => released);
    const waiting = childController(signal);
    await Promise.race([before, aborted(waiting.signal)]);
    waiting.abort();
    try {
      return signal.aborted ? undefined : await task();
    } finally {
      release();
    }
  }
}
