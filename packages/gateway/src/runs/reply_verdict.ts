/**
 * Judges what a response of a backend server proves: that it belongs to the
 * request, and whether that ran. Servers in trouble send responses late, twice,
 * cut off or with any status; what a response doesn't prove is unknown.
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

/** What a response proves about a control call. */
export enum ControlVerdict {
  /** It is the response to this call, which its status and body describe. */
  Own = "own",
  /**
   * It may be the late response to an earlier call on the same connection. Good
   * enough where nothing is lost by an error.
   */
  Unproved = "unproved",
  /** The call had no effect. */
  NotExecuted = "not_executed",
  /** There is no response to this call, which may have been carried out. */
  Unknown = "unknown",
}

/** A control call, as far as its response is told from others by it. */
export interface ControlCallIdentity {
  /** Id that the call carries, if it does. */
  callId?: string;
  /** It is the first call on its connection, so that none before it is late. */
  isFirst: boolean;
}

/**
 * Classifies a response to a control call. Not all servers name the id of a
 * control call, so a response without one is proved only by its connection.
 */
export function classifyControlReply(
  { requestId, hasContentCoding, notExecuted }: ResponseMetadata,
  { callId, isFirst }: ControlCallIdentity,
): ControlVerdict {
  const isForeign = requestId !== undefined && requestId !== callId;
  if (isForeign || hasContentCoding) return ControlVerdict.Unknown;
  if (requestId === undefined && !isFirst) return ControlVerdict.Unproved;
  return notExecuted ? ControlVerdict.NotExecuted : ControlVerdict.Own;
}
