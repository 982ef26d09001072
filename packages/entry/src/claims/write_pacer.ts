/** Limits the rate of claim writes of one entry, across all partitions. */
import { type Clock, sleep } from "@sassafrascleat/runtime";

/** Lets writes start at least `intervalMs` apart. */
export class WritePacer {
  readonly #clock: Clock;
  readonly #intervalMs: number;
  #nextAtMs = 0;

  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
  }

  /** Resolves when the caller may write, or when `signal` aborts. */
  waitForTurn(signal: AbortSignal): Promise<void> {
    const nowMs = this.#clock.now();
    const turnAtMs = Math.max(nowMs, this.#nextAtMs);
    this.#nextAtMs = turnAtMs + this.#intervalMs;
    if (turnAtMs <= nowMs) return Promise.resolve();
    return sleep(turnAtMs - nowMs, signal);
  }
}
