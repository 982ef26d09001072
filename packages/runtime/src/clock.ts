/**
 * Time as a dependency. Decisions and timers take a `Clock`, so that tests can
 * move time by hand. All times are milliseconds; `now()` is monotonic and has
 * no relation to the wall clock of any other process.
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

/** A clock that stands still until it is moved. */
export class ManualClock implements Clock {
  #now: number;

  constructor(startMs = 0) {
    this.#now = startMs;
  }

  now(): number {
    return this.#now;
  }

  /** Moves time forward by `ms`. */
  advance(ms: number): void {
    this.#now += ms;
  }
}
