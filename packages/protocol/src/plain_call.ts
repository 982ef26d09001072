/** Calls to plain services through their sidecar. */
import { z } from "zod";
import { attemptRefSchema, type RefusalReason } from "./reservation.ts";
import type { UnknownReason } from "./outcome.ts";

/** Path on the sidecar's system listener: runs a reserved call once. */
export const PLAIN_CALL_PATH = "/call";
/** Path on the sidecar's system listener: waits for a call that was sent earlier. */
export const PLAIN_ATTACH_PATH = "/call/attach";

/**
 * Runs a granted call. Idempotent by request id and attempt: a repeat waits
 * for the first one's answer and never runs the call again.
 */
export const plainCallRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  incarnation: z.string().min(1),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
  /** Remaining time for the answer, in milliseconds. */
  timeoutMs: z.number(),
});
export type PlainCallRequest = z.infer<typeof plainCallRequestSchema>;

/** Asks for the answer of a call that may have been sent. */
export const plainAttachRequestSchema = attemptRefSchema.extend({
  incarnation: z.string().min(1),
  /** Time to wait for the answer, in milliseconds. */
  waitMs: z.number().min(0),
  /** Write a tombstone when the call has not started. */
  settle: z.boolean(),
});
export type PlainAttachRequest = z.infer<typeof plainAttachRequestSchema>;

/** The answer of a plain service. */
export interface PlainAnswer {
  status: number;
  headers: Record<string, string>;
  bodyBase64: string;
}

/** What a sidecar knows about a call. */
export enum PlainCallState {
  Answered = "answered",
  /** Not started and never will be: tombstone or refusal. */
  NotRun = "not_run",
  /** Started, no answer yet. */
  Running = "running",
  /** Started and its answer was lost. */
  Unknown = "unknown",
}

/** Reply to a call or an attach. */
export type PlainCallReply =
  | { state: PlainCallState.Answered; incarnation: string; answer: PlainAnswer }
  | { state: PlainCallState.NotRun; incarnation: string; reason: RefusalReason }
  | { state: PlainCallState.Running; incarnation: string }
  | {
    state: PlainCallState.Unknown;
    incarnation: string;
    reason: UnknownReason;
  };
