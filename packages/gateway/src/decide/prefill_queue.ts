/**
 * Estimates how long prompts wait at the prefill engines of a service. In a burst
 * the engines' queues grow within a second, while one of many routers gets only a
 * few results a second from any of them. The results of all engines are therefore
 * taken together, those of prefills included that were given up: these show that
 * the wait was at least so long.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** Prefills over which the wait is averaged. */
const WINDOW_PREFILLS = 5;
/** Half-life of the average while there are no new results, in milliseconds. */
const HALF_LIFE_MS = 1_000;

/** Wait at the prefill engines of one service. */
export class PrefillQueueEstimator {
  readonly #clock: Clock;
  #waitMs = 0;
  #updatedMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Average wait until an engine starts a prefill, in milliseconds. */
  get waitMs(): number {
    const ageMs = this.#clock.now() - this.#updatedMs;
    return this.#waitMs * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Records how long a prefill has waited, at least. */
  record(waitMs: number): void {
    const before = this.waitMs;
    this.#waitMs = before + (Math.max(0, waitMs) - before) / WINDOW_PREFILLS;
    this.#updatedMs = this.#clock.now();
  }
}
