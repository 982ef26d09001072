/**
 * How long a caller has waited before this try. Load pattern: rejected callers
 * come back with what is left of their time, and compete with first tries that
 * can still be on time. The longest deadline that a route's callers bring is
 * that of first tries; a shorter one tells what earlier tries took.
 */

/** A first try's deadline may be shorter by this much, in milliseconds. */
const SLACK_MS = 400;
/** The longest deadline fades by this factor with each request. */
const FADE = 0.999;

/** Learns the deadlines of one route's first tries. */
export class EarlierWait {
  #longestMs = 0;

  /** Takes in a request; returns how long its caller has waited before. */
  observe(deadlineMs: number | undefined): number {
    if (deadlineMs === undefined) return 0;
    this.#longestMs = Math.max(deadlineMs, this.#longestMs * FADE);
    return Math.max(0, this.#longestMs - deadlineMs - SLACK_MS);
  }
}
