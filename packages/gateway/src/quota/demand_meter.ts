/**
 * The recent demand of one customer at one router, admitted or not: a mean over
 * some seconds, so that a share is kept between the requests of a slow caller and
 * doesn't follow each of them.
 */

const SLOT_MS = 1_000;
const SLOTS = 8;
/** Number of slots, with the current one, that a burst is measured over. */
const BURST_SLOTS = 2;

/** Measures cost per second. */
export class DemandMeter {
  readonly #costs = new Array<number>(SLOTS).fill(0);
  #slot = 0;
  /** Largest cost in the time that is measured. */
  #largest = 0;

  /** Counts a request, admitted or not. */
  add(cost: number, nowMs: number): void {
    this.#expire(nowMs);
    const index = this.#slot % SLOTS;
    this.#costs[index] = (this.#costs[index] ?? 0) + cost;
    this.#largest = Math.max(this.#largest, cost);
  }

  /** Cost per second. */
  perSecond(nowMs: number): number {
    return this.#mean(SLOTS, nowMs);
  }

  /** Cost per second over the last slots alone. */
  latestPerSecond(nowMs: number): number {
    return this.#mean(BURST_SLOTS, nowMs);
  }

  #mean(slots: number, nowMs: number): number {
    this.#expire(nowMs);
    return this.#sum(slots) / slots * 1_000 / SLOT_MS;
  }

  /** Largest cost of one request; 0 if there was none lately. */
  largest(nowMs: number): number {
    this.#expire(nowMs);
    return this.#largest;
  }

  #sum(slots: number): number {
    let sum = 0;
    for (let age = 0; age < slots; age += 1) {
      sum += this.#costs[(this.#slot + SLOTS - age) % SLOTS] ?? 0;
    }
    return sum;
  }

  #expire(nowMs: number): void {
    const slot = Math.floor(nowMs / SLOT_MS);
    const passed = Math.min(SLOTS, slot - this.#slot);
    for (let step = 1; step <= passed; step += 1) {
      this.#costs[(slot - passed + step) % SLOTS] = 0;
    }
    this.#slot = slot;
    if (passed > 0 && this.#sum(SLOTS) === 0) this.#largest = 0;
  }
}
