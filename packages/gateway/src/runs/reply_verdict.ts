/**
 * Classifies a response of a backend server: success, an error while running
 * the request, or proof that the request did not run.
 */
import type { ResponseMetadata } from "../http/wire_codec.ts";

/** The meaning of a complete response for the request. */
export enum ReplyVerdict {
  Good = "good",
  /** The backend server failed; the request counts as executed. */
  Error = "error",
  /** The response proves that the request did not run. */
  NotExecuted = "not_executed",
  /** The status implies that the request did not run, but without proof. */
  Unproved = "unproved",
  /** The response belongs to another request, or its body was modified. */
  InvalidResponse = "foreign",
}

const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

/** True for a status that callers take to mean that the request did not run. */
export function impliesNotExecuted(status: number): boolean {
  return NOT_EXECUTED_STATUSES.has(status);
}

/** Classifies a response to the request `requestId`. */
export function classifyReply(
  status: number,
  metadata: ResponseMetadata,
  requestId: string,
): ReplyVerdict {
  // A request without an id is answered without one.
  const expectedId = requestId === "" ? undefined : requestId;
  const foreign = metadata.requestId !== expectedId;
  if (foreign || metadata.hasContentCoding) return ReplyVerdict.InvalidResponse;
  if (metadata.notExecuted) return ReplyVerdict.NotExecuted;
  if (impliesNotExecuted(status)) return ReplyVerdict.Unproved;
  return status >= 500 ? ReplyVerdict.Error : ReplyVerdict.Good;
}
