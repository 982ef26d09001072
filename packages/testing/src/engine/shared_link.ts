/** A link of limited rate that concurrent transfers share evenly. */

interface Transfer {
  remaining: number;
  finish: (done: boolean) => void;
}

/** Carries tokens at a limited rate; stalls on request. */
export class SharedLink {
  readonly #rate: number;
  readonly #transfers = new Set<Transfer>();
  #stalled = false;
  #updatedAt = performance.now();
  #timer: NodeJS.Timeout | undefined;

  /** `rate` is in tokens a second. */
  constructor(rate: number) {
    this.#rate = rate;
  }

  /** Stops or restarts everything on the link. */
  stall(stalled: boolean): void {
    this.#advance();
    this.#stalled = stalled;
    this.#schedule();
  }

  /** True when all `tokens` have gone through; false on abort. */
  transfer(tokens: number, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      if (signal.aborted) return resolve(false);
      this.#advance();
      const onAbort = () => transfer.finish(false);
      const transfer: Transfer = {
        remaining: tokens,
        finish: (done) => {
          this.#transfers.delete(transfer);
          signal.removeEventListener("abort", onAbort);
          resolve(done);
          if (!done) this.#reschedule();
        },
      };
      signal.addEventListener("abort", onAbort, { once: true });
      this.#transfers.add(transfer);
      this.#schedule();
    });
  }

  #reschedule(): void {
    this.#advance();
    this.#schedule();
  }

  #advance(): void {
    const now = performance.now();
    const elapsed = now - this.#updatedAt;
    this.#updatedAt = now;
    if (this.#stalled || this.#transfers.size === 0) return;
    const share = elapsed * this.#rate / 1000 / this.#transfers.size;
    for (const transfer of this.#transfers) transfer.remaining -= share;
  }

  #schedule(): void {
    clearTimeout(this.#timer);
    if (this.#stalled || this.#transfers.size === 0) return;
    const left = Math.min(...[...this.#transfers].map((t) => t.remaining));
    const waitMs = left * this.#transfers.size * 1000 / this.#rate;
    this.#timer = setTimeout(() => this.#complete(), Math.max(0, waitMs));
  }

  #complete(): void {
    this.#advance();
    for (const transfer of [...this.#transfers]) {
      if (transfer.remaining <= 1e-6) transfer.finish(true);
    }
    this.#schedule();
  }
}
