/**
 * What an answer of a backend server means for the request: whether it is good,
 * an error that was made while running it, or proof that it did not run.
 */
import type { ReplyFacts } from "../http/wire_codec.ts";

/** The meaning of a whole answer. */
export enum ReplyVerdict {
  Good = "good",
  /** The backend server's own failure; it counts as run. */
  Error = "error",
  /** Proved not to have run. */
  NotExecuted = "not_executed",
  /** A status that promises more than is proved. */
  Unproved = "unproved",
  /** It belongs to another request, or its body was changed. */
  Foreign = "foreign",
}

const PROMISING_STATUSES = new Set([408, 421, 429, 503]);

/** True for a status that tells a caller that its request did not run. */
export function promisesNotRun(status: number): boolean {
  return PROMISING_STATUSES.has(status);
}

/** Judges an answer to the request `requestId`. */
export function judgeReply(
  status: number,
  facts: ReplyFacts,
  requestId: string,
): ReplyVerdict {
  const good = status >= 200 && status < 300;
  const foreign = facts.requestId === undefined
    ? good
    : facts.requestId !== requestId;
  if (foreign || facts.encoded) return ReplyVerdict.Foreign;
  if (facts.notExecuted) return ReplyVerdict.NotExecuted;
  if (promisesNotRun(status)) return ReplyVerdict.Unproved;
  return status >= 500 ? ReplyVerdict.Error : ReplyVerdict.Good;
}
