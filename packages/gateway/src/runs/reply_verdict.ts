/**
 * Classifies an answer of a backend server: success, an error while running the
 * request, or proof that the request did not run.
 */
import type { ReplyFacts } from "../http/wire_codec.ts";

/** The meaning of a complete answer for the request. */
export enum ReplyVerdict {
  Good = "good",
  /** The backend server failed; the request counts as executed. */
  Error = "error",
  /** The answer proves that the request did not run. */
  NotExecuted = "not_executed",
  /** The status implies that the request did not run, but without proof. */
  Unproved = "unproved",
  /** The answer belongs to another request, or its body was modified. */
  Foreign = "foreign",
}

const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

/** True for a status that callers take to mean that the request did not run. */
export function impliesNotExecuted(status: number): boolean {
  return NOT_EXECUTED_STATUSES.has(status);
}

/** Classifies an answer to the request `requestId`. */
export function classifyReply(
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
  if (impliesNotExecuted(status)) return ReplyVerdict.Unproved;
  return status >= 500 ? ReplyVerdict.Error : ReplyVerdict.Good;
}
