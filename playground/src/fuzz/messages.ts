/** Messages between entry and sidecar as the box sees and rewrites them. */
import {
  type DrainReply,
  type Frame,
  FrameKind,
  PLAIN_ATTACH_PATH,
  PLAIN_CALL_PATH,
  type PlainAttachRequest,
  type PlainCallReply,
  PlainCallState,
  RefusalReason,
  SIDECAR_RPC_PATH,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
  UnknownReason,
} from "@sassafrascleat/protocol";
import { Break } from "./breaks.ts";

/** Kinds of messages by their path. */
export enum MessageKind {
  Call = "call",
  Attach = "attach",
  Stream = "stream",
  Drain = "drain",
  Control = "control",
}

/** The kind of a message by the path that it is sent to. */
export function kindOf(path: string): MessageKind {
  if (path === PLAIN_CALL_PATH) return MessageKind.Call;
  if (path === PLAIN_ATTACH_PATH) return MessageKind.Attach;
  if (path === `${SIDECAR_RPC_PATH}/drain`) return MessageKind.Drain;
  const streams = [STREAM_START_PATH, STREAM_RESUME_PATH];
  return streams.includes(path) ? MessageKind.Stream : MessageKind.Control;
}

/** A reply that the box gives by itself, without the sidecar. */
export interface ForgedReply {
  body: unknown;
}

/** The reply that a broken rule gives in place of the sidecar. */
export function forgeReply(
  rule: Break | undefined,
  kind: MessageKind,
  body: unknown,
): ForgedReply | undefined {
  if (rule === Break.AcceptWorkWhileLeaving && kind === MessageKind.Drain) {
    const data: DrainReply = { incarnation: "", leaving: true, inFlight: 0 };
    return { body: { result: { data } } };
  }
  if (rule === Break.SkipTombstone && kind === MessageKind.Attach) {
    const req = body as PlainAttachRequest;
    if (!req.settle) return undefined;
    const forged: PlainCallReply = {
      state: PlainCallState.NotRun,
      incarnation: req.incarnation,
      reason: RefusalReason.Tombstoned,
    };
    return { body: forged };
  }
  return undefined;
}

/** What a broken rule makes of a sidecar's reply to a plain call. */
export function breakPlainReply(
  rule: Break | undefined,
  req: { incarnation: string },
  reply: PlainCallReply,
): PlainCallReply {
  if (reply.state !== PlainCallState.Unknown) return reply;
  const restarted = reply.reason === UnknownReason.SidecarRestarted;
  const forget = rule === Break.RetryUnknown ||
    (rule === Break.IgnoreIncarnation && restarted);
  if (!forget) return reply;
  return {
    state: PlainCallState.NotRun,
    incarnation: req.incarnation,
    reason: RefusalReason.Tombstoned,
  };
}

/** Repeats token frames; only a broken receiver would take the copies. */
export class FrameRepeater {
  readonly #rule: Break | undefined;
  #shift = 0;

  constructor(rule: Break | undefined) {
    this.#rule = rule;
  }

  /** The frames to send in place of `frame`. */
  repeat(frame: Frame): Frame[] {
    const shifted = { ...frame, offset: frame.offset + this.#shift };
    if (frame.kind !== FrameKind.Tokens) return [shifted];
    if (this.#rule !== Break.AcceptCrossedFrame) return [frame, frame];
    const count = frame.tokens.length;
    const copy = { ...shifted, offset: shifted.offset + count };
    this.#shift += count;
    return [shifted, copy];
  }
}
