/**
 * Clocks that are passed in as a dependency, so that tests control the time. All
 * times are in milliseconds. `now()` is monotonic and can't be compared with the
 * clock of another process.
 */

/** A source of monotonic milliseconds. */
export interface Clock {
  now(): number;
}

class MonotonicClock implements Clock {
  now(): number {
    return performance.now();
  }
}

/** The process clock. */
export const systemClock: Clock = new MonotonicClock();

/** A clock that changes only when `advance` is called. */
export class ManualClock implements Clock {
  #now: number;

  constructor(startMs = 0) {
    this.#now = startMs;
  }

  now(): number {
    return this.#now;
  }

  /** Advances the time by `ms`. */
  advance(ms: number): void {
    this.#now += ms;
  }
}
