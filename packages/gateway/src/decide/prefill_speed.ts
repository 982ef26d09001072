/**
 * Learns the prefill throughput of a service's engines. The throughput
 * differs several times over between models, and both the balance of stages
 * and the expected duration of a prefill follow from it. Most prefills of a
 * burst wait in a queue, so the fastest ones are taken as the measure.
 */

/** Number of prefills that the estimate is based on. */
const WINDOW_PREFILLS = 64;
/** Fewer prefills are not enough for an estimate. */
const MIN_PREFILLS = 6;
/** Quantile of the observed speeds; the slower prefills had to wait. */
const UNQUEUED_QUANTILE = 0.8;

/** Estimates the prefill speed of one service's engines. */
export class PrefillSpeedEstimator {
  readonly #defaultTokensPerMs: number;
  readonly #samples: number[] = [];
  #next = 0;
  #learned: number | undefined;

  /** `defaultTokensPerMs` applies until enough prefills were seen. */
  constructor(defaultTokensPerMs: number) {
    this.#defaultTokensPerMs = defaultTokensPerMs;
  }

  /** Speed of an engine without a queue, in tokens per millisecond. */
  get tokensPerMs(): number {
    return this.#learned ?? this.#defaultTokensPerMs;
  }

  /** Records a prefill of `tokens` that took `elapsedMs`, queue included. */
  record(tokens: number, elapsedMs: number): void {
    if (tokens <= 0 || elapsedMs <= 0) return;
    this.#samples[this.#next] = tokens / elapsedMs;
    this.#next = (this.#next + 1) % WINDOW_PREFILLS;
    if (this.#samples.length < MIN_PREFILLS) return;
    const sorted = this.#samples.toSorted((a, b) => a - b);
    this.#learned = sorted[Math.floor(sorted.length * UNQUEUED_QUANTILE)];
  }
}
