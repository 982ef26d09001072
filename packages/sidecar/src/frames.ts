/** Converts a token log into the frames of a stream. */
import {
  type AttemptRef,
  type FailedFrame,
  type Frame,
  FrameKind,
  type RefusalReason,
  StreamFailure,
} from "@sassafrascleat/protocol";
import type { StreamEnd, TokenLog } from "./token_log.ts";

/**
 * Yields the frames of `log` from `offset` to its end. Tokens that are
 * available at the same time share a frame; a heartbeat is sent when there is
 * no new token for `heartbeatMs`.
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

/** Creates the only frame of a refused stream. */
export function refusedFrame(
  ref: AttemptRef,
  offset: number,
  refusal: RefusalReason,
): FailedFrame {
  return failedFrame(ref, offset, StreamFailure.Refused, refusal);
}

/** Creates the frame that ends a stream without a complete answer. */
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

function endFrame(ref: AttemptRef, offset: number, end: StreamEnd): Frame {
  if (!end.complete) return failedFrame(ref, offset, end.failure, end.refusal);
  const { requestId, attempt } = ref;
  const { finish } = end;
  return { kind: FrameKind.End, requestId, attempt, offset, finish };
}
