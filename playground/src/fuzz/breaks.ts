/**
 * Deliberate breaks of the product, made at the boundary between an entry and
 * a sidecar: both sides then behave as if a rule were missing. The fuzzer has
 * to catch each one; a break that passes is a defect of the harness.
 */

/** A rule that is broken on purpose. */
export enum Break {
  /** A call that had not started is called settled, without a tombstone. */
  SkipTombstone = "skip-tombstone",
  /** A call that may have run is called not run. */
  RetryUnknown = "retry-unknown",
  /** The engine is never told to cancel. */
  ForgetCancel = "forget-cancel",
  /** A restarted sidecar answers as if it were the one before. */
  IgnoreIncarnation = "ignore-incarnation",
  /** Frames that arrive twice reach the caller twice. */
  AcceptCrossedFrame = "accept-crossed-frame",
  /** A leaving sidecar goes on taking work. */
  AcceptWorkWhileLeaving = "accept-work-while-leaving",
}

/** Names for the command line, one for each break. */
export const BREAK_NAMES: readonly string[] = Object.values(Break);

/** The break with this name; undefined when there is none. */
export function breakNamed(name: string): Break | undefined {
  return Object.values(Break).find((item) => item === name);
}
