/** Prefill requests and their short-lived results, which decode engines import. */
import { z } from "zod";
import {
  attemptRefSchema,
  type LoadHint,
  RefusalReason,
} from "./reservation.ts";

/** Asks a sidecar to prefill a prompt. Idempotent by request id and attempt. */
export const prefillRequestSchema = attemptRefSchema.extend({
  entryId: z.string().min(1),
  service: z.string().min(1),
  model: z.string(),
  prompt: z.string(),
  /** Tokens that earlier attempts already sent to the caller. */
  generated: z.array(z.string()),
  promptTokens: z.number().int().min(0),
  /** Chained hashes of the prompt's leading KV cache pieces. */
  pieceHashes: z.array(z.string()),
  /** Delay before the prefill may start, in milliseconds. */
  startInMs: z.number().min(0),
  /** Time after `startInMs` by which it must start or is dropped, in milliseconds. */
  startWithinMs: z.number().min(0),
  /** Higher values run first; at most `MAX_LATE_PRIORITY` if the target can't be met. */
  priority: z.number().int(),
  /**
   * Time until the prefill should be finished, in milliseconds. Prefills that
   * can meet their target are ordered by it, since priorities that were computed
   * at different times are not comparable.
   */
  dueInMs: z.number().optional(),
});
export type PrefillRequest = z.infer<typeof prefillRequestSchema>;

/** Location of a prefill result and its remaining lifetime. */
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

/** The prefill finished. */
export interface PrefillDone {
  done: true;
  incarnation: string;
  kv: KvHandle;
  /** Prompt tokens served from the prefix cache. */
  cachedTokens: number;
  /** Time in the queue, in milliseconds. */
  queuedMs: number;
  /** Time in the engine, in milliseconds. */
  ranMs: number;
  hint: LoadHint;
}

/** The prefill was refused or did not finish. */
export interface PrefillRefused {
  done: false;
  incarnation: string;
  reason: RefusalReason;
  hint: LoadHint;
}

export type PrefillReply = PrefillDone | PrefillRefused;
