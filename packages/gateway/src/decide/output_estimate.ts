/**
 * Expected length of an answer. Load pattern: callers declare a maximum several
 * times what is generated, and their estimates are right only in the middle.
 * A regression of the logarithm of the length on that of the estimate, learned
 * from finished answers, shrinks the estimate towards what is usual.
 */
import type { PromptShape } from "../http/wire_codec.ts";

/** Finished answers that the first belief counts for. */
const PRIOR_ANSWERS = 12;
/** Old answers fade, so that a change of traffic is followed. */
const FADE = 0.995;
/** Length without any estimate, as a share of the maximum. */
const SHARE_OF_MAX = 0.42;

/** Learns lengths of one route. */
export class OutputEstimate {
  #weight = 0;
  #sumTokens = 0;
  #sumX = 0;
  #sumY = 0;
  #sumXX = 0;
  #sumXY = 0;

  /** Expected generated tokens. */
  expect(prompt: PromptShape): number {
    const hint = hintOf(prompt);
    const x = Math.log(hint);
    const { intercept, slope } = this.#fit();
    const expected = Math.exp(intercept + slope * x);
    return Math.min(prompt.maxOutputTokens, Math.max(1, expected));
  }

  /** Tokens of an answer of this route, on average. */
  usual(prompt: PromptShape): number {
    const believed = PRIOR_ANSWERS * prompt.maxOutputTokens * SHARE_OF_MAX;
    return (this.#sumTokens + believed) / (this.#weight + PRIOR_ANSWERS);
  }

  /** Takes in a finished answer. */
  learn(prompt: PromptShape, generatedTokens: number): void {
    if (generatedTokens < 1) return;
    const x = Math.log(hintOf(prompt));
    const y = Math.log(generatedTokens);
    this.#weight = this.#weight * FADE + 1;
    this.#sumTokens = this.#sumTokens * FADE + generatedTokens;
    this.#sumX = this.#sumX * FADE + x;
    this.#sumY = this.#sumY * FADE + y;
    this.#sumXX = this.#sumXX * FADE + x * x;
    this.#sumXY = this.#sumXY * FADE + x * y;
  }

  /** Least squares, mixed with the belief that the estimate is right. */
  #fit(): { intercept: number; slope: number } {
    const n = this.#weight;
    if (n < 2) return { intercept: 0, slope: 1 };
    const meanX = this.#sumX / n;
    const meanY = this.#sumY / n;
    const varX = this.#sumXX / n - meanX * meanX;
    const cov = this.#sumXY / n - meanX * meanY;
    const trust = n / (n + PRIOR_ANSWERS);
    const raw = varX > 1e-6 ? cov / varX : 1;
    const slope = trust * Math.min(1, Math.max(0, raw)) + (1 - trust);
    const shift = trust * (meanY - meanX);
    const intercept = meanX * (1 - slope) + shift;
    return { intercept, slope };
  }
}

function hintOf(prompt: PromptShape): number {
  const hint = prompt.expectedOutputTokens ??
    prompt.maxOutputTokens * SHARE_OF_MAX;
  return Math.min(prompt.maxOutputTokens, Math.max(1, hint));
}
