/**
 * Reservations at a sidecar, which alone allocates the slots and memory of its
 * engine. Each call is idempotent by request id and attempt. Once the caller
 * knows the incarnation of the sidecar process, its calls name it, so that a
 * restarted sidecar can reject them.
 */
import { z } from "zod";

/** Identifies one attempt of a request. */
export const attemptRefSchema = z.object({
  requestId: z.string().min(1).max(128),
  /** Starts at 1; a new attempt supersedes all earlier ones. */
  attempt: z.number().int().min(1),
});
export type AttemptRef = z.infer<typeof attemptRefSchema>;

/** Request classes in order of decreasing urgency. */
export enum RequestClass {
  Interactive = "interactive",
  Standard = "standard",
  Batch = "batch",
}

/** Asks for a slot and memory at a backend server. */
export const reserveRequestSchema = attemptRefSchema.extend({
  /** Entry process that renews this attempt. */
  entryId: z.string().min(1),
  service: z.string().min(1),
  requestClass: z.enum(RequestClass),
  /** Prompt length in tokens; 0 for plain services. */
  promptTokens: z.number().int().min(0),
  /** Maximum length of the output in tokens; 0 for plain services. */
  maxOutputTokens: z.number().int().min(0),
  /** Expected length of the output in tokens; 0 for plain services. */
  expectedOutputTokens: z.number().int().min(0),
  /** Maximum time that the entry would wait for the slot, in milliseconds. */
  maxWaitMs: z.number().min(0),
});
export type ReserveRequest = z.infer<typeof reserveRequestSchema>;

/** Reason why a sidecar refused a call. */
export enum RefusalReason {
  Leaving = "leaving",
  Full = "full",
  Tombstoned = "tombstoned",
  WrongIncarnation = "wrong_incarnation",
  GrantExpired = "grant_expired",
  TooLarge = "too_large",
  /** The message is stale: the attempt has ended or a newer one exists. */
  Superseded = "superseded",
  EngineDown = "engine_down",
}

/** Load of a backend server, sent with every reply; it may be out of date. */
export const loadHintSchema = z.object({
  /** Number of requests that hold a slot. */
  running: z.number().int(),
  /** Number of reservations waiting for a slot or for their prefill. */
  reserved: z.number().int(),
  /** Number of slots that the time-between-tokens target allows at present. */
  slots: z.number().int(),
  freePieces: z.number().int(),
  totalPieces: z.number().int(),
  /** Prompt tokens queued and in progress; prefill only. */
  queuedTokens: z.number(),
  /** The part of `queuedTokens` with a priority above `MAX_LATE_PRIORITY`. */
  urgentTokens: z.number().optional(),
  /** Measured prompt tokens per second (prefill) or steps per second (decode). */
  rate: z.number(),
  leaving: z.boolean(),
});
export type LoadHint = z.infer<typeof loadHintSchema>;

/** The reservation was granted. */
export interface Granted {
  granted: true;
  incarnation: string;
  /** Predicted time until the slot is free, in milliseconds; 0 if it is free now. */
  readyInMs: number;
  /** Time after which the grant expires unless started, in milliseconds. */
  expiresInMs: number;
  hint: LoadHint;
}

/** The reservation was refused; nothing is held. */
export interface Refused {
  granted: false;
  incarnation: string;
  reason: RefusalReason;
  /** Expected time until a slot is free, in milliseconds. */
  retryAfterMs: number;
  hint: LoadHint;
}

export type ReserveReply = Granted | Refused;
