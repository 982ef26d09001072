/**
 * Decides how much memory of a decode engine a generation needs to be admitted.
 * In a burst many generations begin at the same time and grow together, far
 * beyond their prompts; an engine that runs out of memory preempts the newest
 * ones, whose prompts are then prefilled again while their streams pause. A
 * reservation of whole outputs would waste the memory that the other
 * generations have not grown into yet. Each generation therefore reserves its
 * prompt and a part of its output, and the engine must have a margin free that
 * all its generations share.
 */

/** Inputs of the decision; all sizes are in tokens. */
export interface MemoryDemandInputs {
  promptTokens: number;
  /** Expected output of this generation. */
  expectedOutputTokens: number;
  /** Usual output of generations of the same route. */
  meanOutputTokens: number;
  /** Memory of an engine. */
  kvTokens: number;
  /** Part of the expected output that is reserved. */
  outputReserveRatio: number;
  /** Margin in multiples of the usual output. */
  memoryMarginResponses: number;
}

/** Memory that a generation needs, in tokens. */
export interface MemoryDemand {
  /** Reserved for this generation. */
  reserveTokens: number;
  /** Must be free in addition, for the growth of all generations. */
  marginTokens: number;
}

/** Upper limit of the margin, as a share of an engine's memory. */
const MAX_MARGIN_SHARE = 0.25;

/** Returns the memory that a generation needs to be admitted. */
export function memoryDemand(inputs: MemoryDemandInputs): MemoryDemand {
  const { kvTokens } = inputs;
  const outputTokens = inputs.outputReserveRatio * inputs.expectedOutputTokens;
  const marginTokens = inputs.memoryMarginResponses * inputs.meanOutputTokens;
  return {
    reserveTokens: Math.min(
      kvTokens,
      Math.ceil(inputs.promptTokens + outputTokens),
    ),
    marginTokens: Math.floor(
      Math.min(marginTokens, kvTokens * MAX_MARGIN_SHARE),
    ),
  };
}
