/** Claims as they are stored: a chain of generations for each partition of the keys. */
import type { AttemptRef, PlainAnswer } from "@sassafrascleat/protocol";
import { z } from "zod";

/** The claim of one idempotency key. */
export const claimRecordSchema = z.object({
  /** Hash of the call that the key was first used for. */
  bodyHash: z.string(),
  requestId: z.string(),
  attempt: z.number().int(),
  /** Backend server whose sidecar decides whether the call started. */
  sidecar: z.string(),
  incarnation: z.string(),
  /** Wall-clock time of the claim at its entry, milliseconds since the epoch. */
  claimedAtMs: z.number(),
  /** The answer, once it is known and when it is small. */
  answer: z.object({
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
  }).optional(),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** One generation of a partition: the stored object. */
export const claimGenerationSchema = z.object({
  /** A sealed generation takes no further keys; its claims may still change. */
  sealed: z.boolean(),
  claims: z.record(z.string(), claimRecordSchema),
});
export type ClaimGeneration = z.infer<typeof claimGenerationSchema>;

/** What a request wants to write. */
export interface ClaimIntent {
  keyHash: string;
  bodyHash: string;
  ref: AttemptRef;
  sidecar: string;
  incarnation: string;
  /** The claim that may be replaced, because its call is proved not run. */
  replaces?: AttemptRef;
}

/** The answer of a claimed call. */
export interface SettledClaim {
  keyHash: string;
  ref: AttemptRef;
  answer: PlainAnswer;
}

/** What became of a claim. */
export enum ClaimStatus {
  /** Durable: the call may be dispatched. */
  Claimed = "claimed",
  /** Another request holds the key. */
  Held = "held",
  /** Not known to be durable: the call must not be dispatched. */
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
