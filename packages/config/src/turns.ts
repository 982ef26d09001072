/** Lets callers of one object run one after the other. */
import { aborted, childController } from "@sassafrascleat/runtime";

/** A queue of callers; each waits until all before it have ended. */
export class Turns {
  #last: Promise<unknown> = Promise.resolve();

  /**
   * Runs `work` when every earlier caller has ended, and hands back its value;
   * undefined when `signal` aborts before that.
   */
  async run<T>(
    signal: AbortSignal,
    work: () => Promise<T>,
  ): Promise<T | undefined> {
    const before = this.#last;
    let leave = () => {};
    const left = new Promise<void>((resolve) => leave = resolve);
    this.#last = before.then(() => left);
    const waiting = childController(signal);
    await Promise.race([before, aborted(waiting.signal)]);
    waiting.abort();
    try {
      return signal.aborted ? undefined : await work();
    } finally {
      leave();
    }
  }
}
