/** Classifies and rewrites messages between an entry and a sidecar. */
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
import { type ActiveMutation, Mutation } from "./mutations.ts";

/** Message kinds, distinguished by path. */
export enum MessageKind {
  Call = "call",
  Attach = "attach",
  Stream = "stream",
  Drain = "drain",
  Control = "control",
}

/** Returns the kind of a message that is sent to `path`. */
export function messageKind(path: string): MessageKind {
  if (path === PLAIN_CALL_PATH) return MessageKind.Call;
  if (path === PLAIN_ATTACH_PATH) return MessageKind.Attach;
  if (path === `${SIDECAR_RPC_PATH}/drain`) return MessageKind.Drain;
  const streams = [STREAM_START_PATH, STREAM_RESUME_PATH];
  return streams.includes(path) ? MessageKind.Stream : MessageKind.Control;
}

/** Reply that the proxy returns without contacting the sidecar. */
export interface ForgedReply {
  body: unknown;
}

/** Returns the reply that a mutation sends in place of the sidecar, if any. */
export function forgeReply(
  mutation: ActiveMutation | undefined,
  kind: MessageKind,
  body: unknown,
): ForgedReply | undefined {
  if (
    mutation?.kind === Mutation.AcceptWorkWhileLeaving &&
    kind === MessageKind.Drain
  ) {
    mutation.countEffect();
    const data: DrainReply = { incarnation: "", leaving: true, inFlight: 0 };
    return { body: { result: { data } } };
  }
  if (
    mutation?.kind === Mutation.SkipTombstone && kind === MessageKind.Attach
  ) {
    const req = body as PlainAttachRequest;
    if (!req.settle) return undefined;
    mutation.countEffect();
    const forged: PlainCallReply = {
      state: PlainCallState.NotRun,
      incarnation: req.incarnation,
      reason: RefusalReason.Tombstoned,
    };
    return { body: forged };
  }
  return undefined;
}

/** Applies a mutation to a sidecar's reply to a plain call. */
export function mutatePlainReply(
  mutation: ActiveMutation | undefined,
  req: { incarnation: string },
  reply: PlainCallReply,
): PlainCallReply {
  if (reply.state !== PlainCallState.Unknown) return reply;
  const restarted = reply.reason === UnknownReason.SidecarRestarted;
  const forget = mutation?.kind === Mutation.RetryUnknown ||
    (mutation?.kind === Mutation.IgnoreIncarnation && restarted);
  if (!forget) return reply;
  mutation.countEffect();
  return {
    state: PlainCallState.NotRun,
    incarnation: req.incarnation,
    reason: RefusalReason.Tombstoned,
  };
}

/**
 * Repeats token frames. A copy has the offset of the original, so that a
 * correct receiver rejects it; with `AcceptCrossedFrame` it has the next free
 * offset, as if the receiver had accepted it.
 */
export class FrameRepeater {
  readonly #mutation: ActiveMutation | undefined;
  #shift = 0;

  constructor(mutation: ActiveMutation | undefined) {
    this.#mutation = mutation;
  }

  /** Returns the frames to send in place of `frame`. */
  repeat(frame: Frame): Frame[] {
    const shifted = { ...frame, offset: frame.offset + this.#shift };
    if (frame.kind !== FrameKind.Tokens) return [shifted];
    if (this.#mutation?.kind !== Mutation.AcceptCrossedFrame) {
      return [frame, frame];
    }
    this.#mutation.countEffect();
    const count = frame.tokens.length;
    const copy = { ...shifted, offset: shifted.offset + count };
    this.#shift += count;
    return [shifted, copy];
  }
}
