/** Turns a token log into the frames of one stream. */
import {
  type AttemptRef,
  type FailedFrame,
  type Frame,
  FrameKind,
  type RefusalReason,
  StreamFailure,
} from "@sassafrascleat/protocol";
import type { LogEnd, TokenLog } from "./token_log.ts";

/**
 * Frames of `log` from `offset` on, up to the end. Tokens that are ready
 * together share a frame; heartbeats fill the silence.
 */
export async function* framesOf(
  ref: AttemptRef,
  log: TokenLog,
  offset: number,
  heartbeatMs: number,
  signal: AbortSignal,
): AsyncGenerator<Frame, void> {
  const { requestId, attempt } = ref;
  let sent = offset;
  while (!signal.aborted) {
    const tokens = log.from(sent);
    if (tokens.length > 0) {
      const kind = FrameKind.Tokens;
      yield { kind, requestId, attempt, offset: sent, tokens };
      sent += tokens.length;
    } else if (log.end) {
      return yield endFrame(ref, sent, log.end);
    } else {
      await log.wait(sent, heartbeatMs, signal);
      if (log.length > sent || log.end) continue;
      yield { kind: FrameKind.Heartbeat, requestId, attempt, offset: sent };
    }
  }
}

/** The only frame of a stream that is refused. */
export function refusedFrame(
  ref: AttemptRef,
  offset: number,
  refusal: RefusalReason,
): FailedFrame {
  return failedFrame(ref, offset, StreamFailure.Refused, refusal);
}

/** A frame that ends a stream without a whole answer. */
export function failedFrame(
  ref: AttemptRef,
  offset: number,
  failure: StreamFailure,
  refusal?: RefusalReason,
): FailedFrame {
  const { requestId, attempt } = ref;
  const kind = FrameKind.Failed;
  return { kind, requestId, attempt, offset, failure, refusal };
}

function endFrame(ref: AttemptRef, offset: number, end: LogEnd): Frame {
  if (!end.whole) return failedFrame(ref, offset, end.failure, end.refusal);
  const { requestId, attempt } = ref;
  const { finish } = end;
  return { kind: FrameKind.End, requestId, attempt, offset, finish };
}
