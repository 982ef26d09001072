/** Caps concurrent KV imports over the engine's link; first come, first served. */

/** A counting semaphore whose waits end with an abort signal. */
export class TransferGate {
  readonly #limit: number;
  #active = 0;
  readonly #waiting: (() => void)[] = [];

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** True when the caller may transfer and has to `leave` later. */
  async enter(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.#active < this.#limit) {
      this.#active++;
      return true;
    }
    return await this.#queue(signal);
  }

  leave(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#active--;
  }

  #queue(signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const enter = () => {
        signal.removeEventListener("abort", giveUp);
        resolve(true);
      };
      const giveUp = () => {
        const index = this.#waiting.indexOf(enter);
        if (index < 0) return;
        this.#waiting.splice(index, 1);
        resolve(false);
      };
      this.#waiting.push(enter);
      signal.addEventListener("abort", giveUp, { once: true });
    });
  }
}
