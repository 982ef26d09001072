/** A shared clock, so that all streams send one token at the same time. */

/** Resolves all pending `next` calls at each tick. */
export class Ticker {
  #waiters: (() => void)[] = [];
  readonly #timer: NodeJS.Timeout;

  /**
   * Ticks every `stepMs`, like the steps of a decode engine, so that the
   * process is idle in between.
   */
  constructor(stepMs: number) {
    this.#timer = setInterval(() => this.#step(), stepMs);
  }

  /** Resolves at the next tick. */
  next(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #step(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }
}
