/**
 * Predicts the length of a response. Callers declare a maximum several times
 * the generated length, and their estimates are right only in the median. A
 * regression of the logarithm of the length on that of the estimate, learned
 * from finished responses, shrinks the estimate towards the mean length.
 */
import type { PromptInfo } from "../http/wire_codec.ts";

/** Weight of the prior, in finished responses. */
const PRIOR_RESPONSES = 12;
/** Decay of the weight of earlier responses, to follow changes in traffic. */
const DECAY_PER_RESPONSE = 0.995;
/** Assumed length without an estimate, as a share of the maximum. */
const DEFAULT_SHARE_OF_MAX = 0.42;
/** Longest response that is learned from; callers may name any number. */
const MAX_TOKENS = 1_000_000;

/** Learns the lengths of the responses of one route. */
export class OutputLengthEstimator {
  #weight = 0;
  #sumTokens = 0;
  #sumX = 0;
  #sumY = 0;
  #sumXX = 0;
  #sumXY = 0;
  #hintWeight = 0;
  #sumHints = 0;

  /** Predicts the number of generated tokens; called once for each request. */
  predictTokens(prompt: PromptInfo): number {
    const hint = hintOf(prompt);
    this.#hintWeight = this.#hintWeight * DECAY_PER_RESPONSE + 1;
    this.#sumHints = this.#sumHints * DECAY_PER_RESPONSE + hint;
    const x = Math.log(hint);
    const { intercept, slope } = this.#fit();
    const expected = Math.exp(intercept + slope * x);
    return Math.min(prompt.maxOutputTokens, Math.max(1, expected));
  }

  /**
   * Average number of tokens in a response of this route. In a large fleet each
   * router sees few responses end before the first burst, so the callers'
   * estimates serve as the prior.
   */
  meanTokens(prompt: PromptInfo): number {
    const meanHint = this.#hintWeight > 0
      ? this.#sumHints / this.#hintWeight
      : hintOf(prompt);
    const priorTokens = PRIOR_RESPONSES * meanHint;
    return (this.#sumTokens + priorTokens) / (this.#weight + PRIOR_RESPONSES);
  }

  /** Learns from a finished response. */
  learn(prompt: PromptInfo, generatedTokens: number): void {
    if (generatedTokens < 1) return;
    const x = Math.log(hintOf(prompt));
    const y = Math.log(generatedTokens);
    this.#weight = this.#weight * DECAY_PER_RESPONSE + 1;
    this.#sumTokens = this.#sumTokens * DECAY_PER_RESPONSE + generatedTokens;
    this.#sumX = this.#sumX * DECAY_PER_RESPONSE + x;
    this.#sumY = this.#sumY * DECAY_PER_RESPONSE + y;
    this.#sumXX = this.#sumXX * DECAY_PER_RESPONSE + x * x;
    this.#sumXY = this.#sumXY * DECAY_PER_RESPONSE + x * y;
  }

  /** Least squares fit, blended with the prior that the estimate is right. */
  #fit(): { intercept: number; slope: number } {
    const n = this.#weight;
    if (n < 2) return { intercept: 0, slope: 1 };
    const meanX = this.#sumX / n;
    const meanY = this.#sumY / n;
    const varX = this.#sumXX / n - meanX * meanX;
    const cov = this.#sumXY / n - meanX * meanY;
    const learnedShare = n / (n + PRIOR_RESPONSES);
    const rawSlope = varX > 1e-6 ? cov / varX : 1;
    const slope = learnedShare * Math.min(1, Math.max(0, rawSlope)) +
      (1 - learnedShare);
    const shift = learnedShare * (meanY - meanX);
    const intercept = meanX * (1 - slope) + shift;
    return { intercept, slope };
  }
}

function hintOf(prompt: PromptInfo): number {
  const hint = prompt.expectedOutputTokens ??
    prompt.maxOutputTokens * DEFAULT_SHARE_OF_MAX;
  const longest = Math.min(prompt.maxOutputTokens, MAX_TOKENS);
  return Math.max(1, Math.min(longest, hint));
}
