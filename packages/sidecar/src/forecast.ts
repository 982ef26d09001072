/**
 * Predicts when enough running answers will have ended to free a given
 * capacity. Answer lengths are uncertain, and the first of many answers usually
 * ends well before the mean end of any of them. Each end is therefore modelled
 * as uniformly distributed around its mean, and the prediction is the time at
 * which the expected freed capacity reaches the required one.
 */
import { END_TIME_SPREAD, MIN_PREDICTED_WAIT_MS } from "./constants.ts";

const SEARCH_STEPS = 24;

/** Expected end of one answer that runs or will run. */
export interface ExpectedEnd {
  /** Time until the answer starts, in milliseconds. */
  startsInMs: number;
  /** Mean time to its end, from its start or from now, in milliseconds. */
  remainingMs: number;
  pieces: number;
}

/** Capacity that has to become free. */
export interface RequiredCapacity {
  slots: number;
  pieces: number;
}

/**
 * Predicts the time until `need` is free, in milliseconds; `Infinity` if the
 * ends never free it.
 */
export function predictWaitMs(
  ends: readonly ExpectedEnd[],
  need: RequiredCapacity,
): number {
  if (need.slots <= 0 && need.pieces <= 0) return 0;
  let upperMs = Math.max(0, ...ends.map(latestEndMs));
  if (!isMetBy(ends, need, upperMs)) return Infinity;
  let lowerMs = 0;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middleMs = (lowerMs + upperMs) / 2;
    if (isMetBy(ends, need, middleMs)) upperMs = middleMs;
    else lowerMs = middleMs;
  }
  return Math.max(MIN_PREDICTED_WAIT_MS, Math.round(upperMs));
}

function latestEndMs(end: ExpectedEnd): number {
  return end.startsInMs + end.remainingMs * (1 + END_TIME_SPREAD);
}

function isMetBy(
  ends: readonly ExpectedEnd[],
  need: RequiredCapacity,
  atMs: number,
): boolean {
  let slots = 0;
  let pieces = 0;
  for (const end of ends) {
    const probability = endProbability(end, atMs);
    slots += probability;
    pieces += probability * end.pieces;
  }
  return slots >= need.slots - 0.5 && pieces >= need.pieces - 0.5;
}

/** Probability that the answer has ended `atMs` milliseconds from now. */
function endProbability(end: ExpectedEnd, atMs: number): number {
  const earliestMs = end.startsInMs + end.remainingMs * (1 - END_TIME_SPREAD);
  const spreadMs = 2 * END_TIME_SPREAD * end.remainingMs;
  if (spreadMs === 0) return atMs >= earliestMs ? 1 : 0;
  return Math.min(1, Math.max(0, (atMs - earliestMs) / spreadMs));
}
