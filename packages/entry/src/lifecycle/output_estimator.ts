/** Running estimates of answer lengths, one for each service. */
import { OUTPUT_ESTIMATE_WEIGHT } from "../constants.ts";

/** Estimates answer lengths by an exponentially weighted mean. */
export class OutputEstimator {
  readonly #means = new Map<string, number>();

  /**
   * Returns the expected answer length in tokens, at most `max`. Before the
   * first answer the estimate is `fallback`.
   */
  expected(service: string, fallback: number, max: number): number {
    const mean = this.#means.get(service) ?? fallback;
    return Math.max(1, Math.min(max, Math.ceil(mean)));
  }

  /** Records the length of a complete answer, in tokens. */
  observe(service: string, tokens: number): void {
    const mean = this.#means.get(service) ?? tokens;
    const change = (tokens - mean) * OUTPUT_ESTIMATE_WEIGHT;
    this.#means.set(service, mean + change);
  }
}
