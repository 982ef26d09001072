/**
 * Limits concurrent KV imports over the engine's network link, in FIFO order.
 */

/** Counting semaphore with abortable waits. */
export class TransferLimiter {
  readonly #limit: number;
  #active = 0;
  readonly #waiting: (() => void)[] = [];

  constructor(limit: number) {
    this.#limit = limit;
  }

  /**
   * Waits for a permit. Returns true if the caller got one and has to call
   * `release`; false if `signal` aborted first.
   */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.#active < this.#limit) {
      this.#active++;
      return true;
    }
    return await this.#enqueue(signal);
  }

  release(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#active--;
  }

  #enqueue(signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const grant = () => {
        signal.removeEventListener("abort", cancelWait);
        resolve(true);
      };
      const cancelWait = () => {
        const index = this.#waiting.indexOf(grant);
        if (index < 0) return;
        this.#waiting.splice(index, 1);
        resolve(false);
      };
      this.#waiting.push(grant);
      signal.addEventListener("abort", cancelWait, { once: true });
    });
  }
}
