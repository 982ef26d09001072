/** A simulated network link whose rate is split evenly among transfers. */

interface Transfer {
  remaining: number;
  finish: (done: boolean) => void;
}

/** A link with a limited rate, which tests can stall. */
export class SharedLink {
  readonly #rate: number;
  readonly #transfers = new Set<Transfer>();
  #stalled = false;
  #updatedAt = performance.now();
  #timer: NodeJS.Timeout | undefined;

  /** `rate` is in tokens per second. */
  constructor(rate: number) {
    this.#rate = rate;
  }

  /** Stops all transfers, or resumes them if `stalled` is false. */
  stall(stalled: boolean): void {
    this.#advance();
    this.#stalled = stalled;
    this.#scheduleCompletion();
  }

  /** Resolves to true once all `tokens` are transferred, to false on abort. */
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
      this.#scheduleCompletion();
    });
  }

  #reschedule(): void {
    this.#advance();
    this.#scheduleCompletion();
  }

  #advance(): void {
    const now = performance.now();
    const elapsed = now - this.#updatedAt;
    this.#updatedAt = now;
    if (this.#stalled || this.#transfers.size === 0) return;
    const share = elapsed * this.#rate / 1000 / this.#transfers.size;
    for (const transfer of this.#transfers) transfer.remaining -= share;
  }

  #scheduleCompletion(): void {
    clearTimeout(this.#timer);
    if (this.#stalled || this.#transfers.size === 0) return;
    const minRemaining = Math.min(
      ...[...this.#transfers].map((t) => t.remaining),
    );
    const waitMs = minRemaining * this.#transfers.size * 1000 / this.#rate;
    this.#timer = setTimeout(
      () => this.#completeTransfers(),
      Math.max(0, waitMs),
    );
  }

  #completeTransfers(): void {
    this.#advance();
    for (const transfer of [...this.#transfers]) {
      if (transfer.remaining <= 1e-6) transfer.finish(true);
    }
    this.#scheduleCompletion();
  }
}
