/** Stored form of claims: each partition of the keys is a chain of generations. */
import type { AttemptRef, PlainAnswer } from "@sassafrascleat/protocol";
import { z } from "zod";

/** The claim of one idempotency key. */
export const claimRecordSchema = z.object({
  /** Hash of the call (method, path and body) that the key was first used for. */
  bodyHash: z.string(),
  requestId: z.string(),
  attempt: z.number().int(),
  /** Backend server whose sidecar decides whether the call started. */
  sidecar: z.string(),
  incarnation: z.string(),
  /** Time of the claim by its entry's wall clock, in milliseconds since the epoch. */
  claimedAtMs: z.number(),
  /** The answer, once it is known and if it is small. */
  answer: z.object({
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
  }).optional(),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** One generation of a partition: the stored object. */
export const claimGenerationSchema = z.object({
  /** A sealed generation accepts no new keys; its claims may still change. */
  sealed: z.boolean(),
  claims: z.record(z.string(), claimRecordSchema),
});
export type ClaimGeneration = z.infer<typeof claimGenerationSchema>;

/** A claim that a request wants to make. */
export interface ClaimIntent {
  keyHash: string;
  bodyHash: string;
  ref: AttemptRef;
  sidecar: string;
  incarnation: string;
  /** Holder of a claim that may be replaced, as its call is proven not to have run. */
  replaces?: AttemptRef;
}

/** A claim whose call was answered, with the answer to store. */
export interface SettledClaim {
  keyHash: string;
  ref: AttemptRef;
  answer: PlainAnswer;
}

/** The result of trying to claim a key. */
export enum ClaimStatus {
  /** The claim is durable: the call may be dispatched. */
  Claimed = "claimed",
  /** Another request holds the key. */
  Held = "held",
  /** The claim is not known to be durable: the call must not be dispatched. */
  Unavailable = "unavailable",
}

export type ClaimResult =
  | { status: ClaimStatus.Held; record: ClaimRecord }
  | { status: Exclude<ClaimStatus, ClaimStatus.Held> };

/** The attempt that holds a claim. */
export function holderOf(record: ClaimRecord): AttemptRef {
  return { requestId: record.requestId, attempt: record.attempt };
}

/** Whether both name the same attempt. */
export function sameAttempt(a: AttemptRef, b: AttemptRef): boolean {
  return a.requestId === b.requestId && a.attempt === b.attempt;
}
