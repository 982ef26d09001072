/** Prefill work and the short-lived results that decode engines import. */
import { z } from "zod";
import {
  attemptRefSchema,
  type LoadHint,
  RefusalReason,
} from "./reservation.ts";

/** Asks a prefill sidecar to run a prompt. Idempotent by request id and attempt. */
export const prefillRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  service: z.string().min(1),
  model: z.string(),
  prompt: z.string(),
  /** Tokens already sent to the caller by an earlier attempt. */
  generated: z.array(z.string()),
  promptTokens: z.number().int().min(0),
  /** Chained hashes of the prompt's leading memory pieces. */
  pieceHashes: z.array(z.string()),
  /** Time to wait before the work may begin, in milliseconds. */
  startInMs: z.number().min(0),
  /** The work is dropped when it cannot begin within this time, in milliseconds. */
  startWithinMs: z.number().min(0),
  /** Larger is sooner; at most `LATE_PRIORITY` when the target can't be met. */
  priority: z.number().int(),
  /**
   * Time until the work should be done, in milliseconds. Work that is in time
   * is ordered by it, since priorities of different moments don't compare.
   */
  dueInMs: z.number().optional(),
});
export type PrefillRequest = z.infer<typeof prefillRequestSchema>;

/** Where a prefill result can be fetched, and how long it lives. */
export const kvHandleSchema = z.object({
  handle: z.string(),
  backendServer: z.string(),
  availabilityZone: z.string(),
  engineAddress: z.string(),
  tokens: z.number().int(),
  /** Remaining lifetime when the reply was sent, in milliseconds. */
  expiresInMs: z.number(),
});
export type KvHandle = z.infer<typeof kvHandleSchema>;

/** The prompt has been run. */
export interface PrefillDone {
  done: true;
  incarnation: string;
  kv: KvHandle;
  /** Prompt tokens served from the prefix cache. */
  cachedTokens: number;
  /** Time in the queue and in the engine, in milliseconds. */
  queuedMs: number;
  ranMs: number;
  hint: LoadHint;
}

/** The prompt was not run to its end. */
export interface PrefillRefused {
  done: false;
  incarnation: string;
  reason: RefusalReason;
  hint: LoadHint;
}

export type PrefillReply = PrefillDone | PrefillRefused;
