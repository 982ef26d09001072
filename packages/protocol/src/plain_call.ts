/** Calls through a sidecar to plain services: HTTP services, not model engines. */
import { z } from "zod";
import { attemptRefSchema, type RefusalReason } from "./reservation.ts";
import type { UnknownReason } from "./outcome.ts";

/** Path on the sidecar's system listener that runs a reserved call once. */
export const PLAIN_CALL_PATH = "/call";
/** Path on the sidecar's system listener that waits for a call sent earlier. */
export const PLAIN_ATTACH_PATH = "/call/attach";

/**
 * Runs a call for which a reservation was granted. Idempotent by request id and
 * attempt: a repeated message waits for the response of the first one and never
 * runs the call again.
 */
export const plainCallRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  incarnation: z.string().min(1),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
  /** Remaining time until the response is due, in milliseconds. */
  timeoutMs: z.number(),
});
export type PlainCallRequest = z.infer<typeof plainCallRequestSchema>;

/** Asks for the response to a call that may have been sent. */
export const plainAttachRequestSchema = attemptRefSchema.extend({
  incarnation: z.string().min(1),
  /** Time to wait for the response, in milliseconds. */
  waitMs: z.number().min(0),
  /** Whether to record a tombstone if the call has not started. */
  settle: z.boolean(),
});
export type PlainAttachRequest = z.infer<typeof plainAttachRequestSchema>;

/** Response of a plain service. */
export interface PlainAnswer {
  status: number;
  headers: Record<string, string>;
  bodyBase64: string;
}

/** State of a call at the sidecar. */
export enum PlainCallState {
  Answered = "answered",
  /** Refused or covered by a tombstone; it did not start and never will. */
  NotRun = "not_run",
  /** Started but not answered yet, or not started and not settled. */
  Running = "running",
  /** The call may have started, and its response is lost. */
  Unknown = "unknown",
}

/** Reply to a call or attach message. */
export type PlainCallReply =
  | { state: PlainCallState.Answered; incarnation: string; answer: PlainAnswer }
  | { state: PlainCallState.NotRun; incarnation: string; reason: RefusalReason }
  | { state: PlainCallState.Running; incarnation: string }
  | {
    state: PlainCallState.Unknown;
    incarnation: string;
    reason: UnknownReason;
  };
