/**
 * Token streams from a decode sidecar to an entry: newline-delimited JSON
 * frames over one HTTP response. Every frame names request, attempt and
 * offset, so that a receiver can drop frames that are late or crossed.
 */
import { z } from "zod";
import { kvHandleSchema } from "./prefill.ts";
import { attemptRefSchema, type RefusalReason } from "./reservation.ts";

/** Path on the sidecar's system listener: starts a reserved attempt. */
export const STREAM_START_PATH = "/stream/start";
/** Path on the sidecar's system listener: resumes a stream at an offset. */
export const STREAM_RESUME_PATH = "/stream/resume";

/** Starts a granted attempt; answered with frames. Idempotent: a repeat resumes. */
export const startRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  incarnation: z.string().min(1),
  model: z.string(),
  prompt: z.string(),
  /** Tokens already sent to the caller by earlier attempts. */
  generated: z.array(z.string()),
  promptTokens: z.number().int(),
  /** Tokens still wanted, not counting `generated`. */
  maxOutputTokens: z.number().int().min(1),
  priority: z.number().int(),
  kv: kvHandleSchema,
});
export type StartRequest = z.infer<typeof startRequestSchema>;

/** Continues a stream on a new connection; answered with frames. */
export const resumeRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  incarnation: z.string().min(1),
  /** Tokens of this attempt that the entry holds already. */
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

/** Why an answer ended. */
export enum FinishReason {
  Stop = "stop",
  Length = "length",
}

/** Why an attempt failed after its start. */
export enum StreamFailure {
  /** The prefill result could not be fetched; it may still be alive. */
  TransferFailed = "transfer_failed",
  /** The prefill result had expired. */
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

/** Tokens from `offset` on. */
export interface TokensFrame extends FrameBase {
  kind: FrameKind.Tokens;
  tokens: string[];
}

/** Nothing new; the connection is alive. */
export interface HeartbeatFrame extends FrameBase {
  kind: FrameKind.Heartbeat;
}

/** The answer is whole; `offset` is its length in tokens. */
export interface EndFrame extends FrameBase {
  kind: FrameKind.End;
  finish: FinishReason;
}

/** The attempt is over without a whole answer. */
export interface FailedFrame extends FrameBase {
  kind: FrameKind.Failed;
  failure: StreamFailure;
  refusal?: RefusalReason;
}

export type Frame = TokensFrame | HeartbeatFrame | EndFrame | FailedFrame;

/** One line of the stream, newline included. */
export function encodeFrame(frame: Frame): string {
  return JSON.stringify(frame) + "\n";
}

/** Decodes one line; undefined when it is not a frame. */
export function decodeFrame(line: string): Frame | undefined {
  try {
    const frame = JSON.parse(line) as Frame;
    return typeof frame.offset === "number" ? frame : undefined;
  } catch {
    return undefined;
  }
}
