/**
 * Forecasts when enough answers have ended. Lengths of answers are uncertain,
 * and among many the first to end ends well before any of them is expected to:
 * each answer's end is taken as spread evenly around its mean, and the forecast
 * is when the expected number of ends reaches what is needed.
 */
import { END_SPREAD, MIN_WAIT_MS } from "./constants.ts";

const SEARCH_STEPS = 24;

/** The end of one answer that runs or will run. */
export interface ExpectedEnd {
  /** When the answer begins, in milliseconds from now. */
  beginsInMs: number;
  /** Mean time from its beginning, or from now, to its end. */
  remainingMs: number;
  pieces: number;
}

/** What has to be given back. */
export interface Need {
  slots: number;
  pieces: number;
}

/** Time until `need` is expected to be met; `Infinity` if it never is. */
export function forecastMs(ends: readonly ExpectedEnd[], need: Need): number {
  if (need.slots <= 0 && need.pieces <= 0) return 0;
  let late = Math.max(0, ...ends.map(latestMs));
  if (!isMet(ends, need, late)) return Infinity;
  let early = 0;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middle = (early + late) / 2;
    if (isMet(ends, need, middle)) late = middle;
    else early = middle;
  }
  return Math.max(MIN_WAIT_MS, Math.round(late));
}

function latestMs(end: ExpectedEnd): number {
  return end.beginsInMs + end.remainingMs * (1 + END_SPREAD);
}

function isMet(
  ends: readonly ExpectedEnd[],
  need: Need,
  atMs: number,
): boolean {
  let slots = 0;
  let pieces = 0;
  for (const end of ends) {
    const share = endedShare(end, atMs);
    slots += share;
    pieces += share * end.pieces;
  }
  return slots >= need.slots - 0.5 && pieces >= need.pieces - 0.5;
}

/** Probability that the answer has ended by then. */
function endedShare(end: ExpectedEnd, atMs: number): number {
  const first = end.beginsInMs + end.remainingMs * (1 - END_SPREAD);
  const width = 2 * END_SPREAD * end.remainingMs;
  if (width === 0) return atMs >= first ? 1 : 0;
  return Math.min(1, Math.max(0, (atMs - first) / width));
}
