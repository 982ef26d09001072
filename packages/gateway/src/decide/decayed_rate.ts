/**
 * Rate of events, such as requests or ends of generations, of which recent ones
 * count more.
 */
export class DecayedRate {
  readonly #decayMs: number;
  readonly #startMs: number;
  #count = 0;
  #updatedMs: number;

  constructor(decayMs: number, nowMs: number) {
    this.#decayMs = decayMs;
    this.#startMs = nowMs;
    this.#updatedMs = nowMs;
  }

  /** Counts one event. */
  add(nowMs: number): void {
    this.#count = this.#countAt(nowMs) + 1;
    this.#updatedMs = nowMs;
  }

  /** Events per millisecond. */
  rate(nowMs: number): number {
    const ageMs = Math.max(1, nowMs - this.#startMs);
    // The events of a decay time that hasn't passed yet are missing.
    const observedMs = this.#decayMs * (1 - Math.exp(-ageMs / this.#decayMs));
    return this.#countAt(nowMs) / observedMs;
  }

  #countAt(nowMs: number): number {
    return this.#count * Math.exp((this.#updatedMs - nowMs) / this.#decayMs);
  }
}
