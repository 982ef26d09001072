/**
 * Reservations at a sidecar, which alone decides about its engine's slots and
 * memory. Each call is idempotent by request id and attempt, and names the
 * sidecar incarnation that it is meant for once that is known.
 */
import { z } from "zod";

/** One attempt of one request. */
export const attemptRefSchema = z.object({
  requestId: z.string().min(1).max(128),
  /** Starts at 1; a new attempt makes all earlier ones void. */
  attempt: z.number().int().min(1),
});
export type AttemptRef = z.infer<typeof attemptRefSchema>;

/** Request classes by falling urgency. */
export enum RequestClass {
  Interactive = "interactive",
  Standard = "standard",
  Batch = "batch",
}

/** Asks for a place at a backend server. */
export const reserveRequestSchema = attemptRefSchema.extend({
  /** The entry that will renew this attempt. */
  entryId: z.string().min(1),
  service: z.string().min(1),
  requestClass: z.enum(RequestClass),
  /** Prompt length in tokens; 0 for plain services. */
  promptTokens: z.number().int().min(0),
  /** Upper bound of the answer in tokens; 0 for plain services. */
  maxOutputTokens: z.number().int().min(0),
  /** Expected answer length in tokens; 0 for plain services. */
  expectedOutputTokens: z.number().int().min(0),
  /** Longest time that the entry would wait for the place, in milliseconds. */
  maxWaitMs: z.number().min(0),
});
export type ReserveRequest = z.infer<typeof reserveRequestSchema>;

/** Why a sidecar refused. */
export enum RefusalReason {
  Leaving = "leaving",
  Full = "full",
  Tombstoned = "tombstoned",
  WrongIncarnation = "wrong_incarnation",
  GrantExpired = "grant_expired",
  TooLarge = "too_large",
  /** The attempt is over; a stale message arrived. */
  Superseded = "superseded",
  EngineDown = "engine_down",
}

/** Lagging hints about a backend server; they ride on every reply. */
export const loadHintSchema = z.object({
  /** Requests that hold a slot. */
  running: z.number().int(),
  /** Reservations that wait for a slot or for their prefill. */
  reserved: z.number().int(),
  /** Slots that the time-between-tokens target allows now. */
  slots: z.number().int(),
  freePieces: z.number().int(),
  totalPieces: z.number().int(),
  /** Prompt tokens queued and in work; prefill only. */
  queuedTokens: z.number(),
  /** The part of `queuedTokens` that is not of `LATE_PRIORITY`. */
  urgentTokens: z.number().optional(),
  /** Measured rate, prompt tokens a second for prefill, steps a second for decode. */
  rate: z.number(),
  leaving: z.boolean(),
});
export type LoadHint = z.infer<typeof loadHintSchema>;

/** A place was granted. */
export interface Granted {
  granted: true;
  incarnation: string;
  /** Predicted time until the slot is free; 0 when it is free now. */
  readyInMs: number;
  /** The grant expires by itself after this time unless started. */
  expiresInMs: number;
  hint: LoadHint;
}

/** No place was granted; nothing is held. */
export interface Refused {
  granted: false;
  incarnation: string;
  reason: RefusalReason;
  /** When a place is expected, in milliseconds. */
  retryAfterMs: number;
  hint: LoadHint;
}

export type ReserveReply = Granted | Refused;
