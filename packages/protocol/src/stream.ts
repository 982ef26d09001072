/**
 * Token streams from a decode sidecar to an entry: newline-delimited JSON
 * frames in one HTTP response. Every frame carries the request id, attempt and
 * offset, so that the receiver can drop stale frames and frames of another
 * request.
 */
import { z } from "zod";
import { kvHandleSchema } from "./prefill.ts";
import { attemptRefSchema, type RefusalReason } from "./reservation.ts";

/** Path on the sidecar's system listener that starts a reserved attempt. */
export const STREAM_START_PATH = "/stream/start";
/** Path on the sidecar's system listener that resumes a stream at an offset. */
export const STREAM_RESUME_PATH = "/stream/resume";

/**
 * Starts a granted attempt; the response is a stream of frames. Idempotent: a
 * repeated message streams the same attempt from its beginning.
 */
export const startRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  incarnation: z.string().min(1),
  model: z.string(),
  prompt: z.string(),
  /** Tokens that earlier attempts already sent to the caller. */
  generated: z.array(z.string()),
  promptTokens: z.number().int(),
  /** Maximum number of tokens to generate in addition to `generated`. */
  maxOutputTokens: z.number().int().min(1),
  priority: z.number().int(),
  kv: kvHandleSchema,
});
export type StartRequest = z.infer<typeof startRequestSchema>;

/** Resumes a stream on a new connection; the response is a stream of frames. */
export const resumeRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  incarnation: z.string().min(1),
  /** Number of tokens of this attempt that the entry has already received. */
  offset: z.number().int().min(0),
});
export type ResumeRequest = z.infer<typeof resumeRequestSchema>;

/** Kinds of frames. */
export enum FrameKind {
  Tokens = "tokens",
  Heartbeat = "heartbeat",
  End = "end",
  Failed = "failed",
}

/** Reason why the output ended. */
export enum FinishReason {
  Stop = "stop",
  Length = "length",
}

/** Reason why an attempt failed after its start. */
export enum StreamFailure {
  /** The prefill result could not be fetched; it may still exist. */
  TransferFailed = "transfer_failed",
  /** The prefill result has expired. */
  KvExpired = "kv_expired",
  EngineLost = "engine_lost",
  Cancelled = "cancelled",
  Refused = "refused",
  /** The sidecar does not know the attempt. */
  NotFound = "not_found",
}

interface FrameBase {
  requestId: string;
  attempt: number;
  /** Offset of the first token in the frame, or of the next token expected. */
  offset: number;
}

/** Tokens starting at `offset`. */
export interface TokensFrame extends FrameBase {
  kind: FrameKind.Tokens;
  tokens: string[];
}

/** Sent when there are no new tokens, to show that the connection is alive. */
export interface HeartbeatFrame extends FrameBase {
  kind: FrameKind.Heartbeat;
}

/** The output is complete; `offset` is its length in tokens. */
export interface EndFrame extends FrameBase {
  kind: FrameKind.End;
  finish: FinishReason;
}

/** The attempt ended before its output was complete. */
export interface FailedFrame extends FrameBase {
  kind: FrameKind.Failed;
  failure: StreamFailure;
  refusal?: RefusalReason;
}

export type Frame = TokensFrame | HeartbeatFrame | EndFrame | FailedFrame;

/** Encodes one line of the stream, including the newline. */
export function encodeFrame(frame: Frame): string {
  return JSON.stringify(frame) + "\n";
}

/** Decodes one line; returns undefined if it is not a valid frame. */
export function decodeFrame(line: string): Frame | undefined {
  try {
    const frame = JSON.parse(line) as Frame;
    return typeof frame.offset === "number" ? frame : undefined;
  } catch {
    return undefined;
  }
}
