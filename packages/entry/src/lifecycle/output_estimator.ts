/** Running estimates of answer lengths, one for each service. */
import { OUTPUT_ESTIMATE_WEIGHT } from "../constants.ts";

/** Learns how long the answers of each service are. */
export class OutputEstimator {
  readonly #means = new Map<string, number>();

  /** Expected answer length in tokens, at most `max`; `fallback` before the first answer. */
  expected(service: string, fallback: number, max: number): number {
    const mean = this.#means.get(service) ?? fallback;
    return Math.max(1, Math.min(max, Math.ceil(mean)));
  }

  /** Records the length of a whole answer. */
  observe(service: string, tokens: number): void {
    const mean = this.#means.get(service) ?? tokens;
    const change = (tokens - mean) * OUTPUT_ESTIMATE_WEIGHT;
    this.#means.set(service, mean + change);
  }
}
