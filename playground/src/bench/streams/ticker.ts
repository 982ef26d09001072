/** A shared tick, so that every stream sends one token at the same moment. */

/** Wakes everyone who waits, once for each step. */
export class Ticker {
  #wakers: (() => void)[] = [];
  readonly #timer: NodeJS.Timeout;

  /** Steps every `stepMs`, as a decode engine does, so that idle time is idle. */
  constructor(stepMs: number) {
    this.#timer = setInterval(() => this.#step(), stepMs);
  }

  /** Resolves at the next step. */
  next(): Promise<void> {
    return new Promise((resolve) => this.#wakers.push(resolve));
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #step(): void {
    const wakers = this.#wakers;
    this.#wakers = [];
    for (const wake of wakers) wake();
  }
}
