/** Default values and limits of the routing decisions. */

import { RequestClass } from "@sassafrascleat/protocol";

/** Offset added to the due time of a class when ordering requests, in milliseconds. */
export const CLASS_DUE_TIME_OFFSET_MS: Record<RequestClass, number> = {
  [RequestClass.Interactive]: 0,
  [RequestClass.Standard]: 100,
  [RequestClass.Batch]: 1_000,
};

/** The admission queue serves its oldest ticket, regardless of state, once in this many picks. */
export const OLDEST_PICK_INTERVAL = 16;

/** Allowed difference in service time between customers of a class, in milliseconds. */
export const FAIRNESS_SLACK_MS = 250;

/** Tracked customers above which the rate limiter drops idle ones. */
export const MAX_IDLE_CUSTOMERS = 8_192;

/**
 * Maximum and initial balance of a retry budget, in retries: enough for the
 * requests of three full decode engines that are lost at once.
 */
export const RETRY_BUDGET_BURST = 60;

/** Backoff before the first retry, in milliseconds. */
export const RETRY_BACKOFF_MS = 20;

/** Longest backoff before a retry, in milliseconds. */
export const MAX_RETRY_BACKOFF_MS = 1_000;

/**
 * A load hint is assumed to include work that was sent at least this long before
 * the hint arrived, in milliseconds.
 */
export const HINT_SETTLE_MS = 8;

/** Decode backend servers whose hints are compared for one request. */
export const DECODE_SAMPLE = 8;

/** Decode backend servers that are asked for a slot for one request. */
export const DECODE_PROBES = 3;

/** Prefill backend servers that are compared for one request. */
export const PREFILL_SAMPLE = 6;

/** Prefill rate assumed before the first hint, in tokens a second. */
export const ASSUMED_PREFILL_RATE = 20_000;

/** Decode slots assumed before the first hint. */
export const ASSUMED_SLOTS = 16;

/** Time to set up a KV transfer, in milliseconds. */
export const TRANSFER_SETUP_MS = 4;

/** KV transfer rate inside an availability zone, in tokens a millisecond. */
export const SAME_ZONE_TOKENS_PER_MS = 400;

/** KV transfer rate between availability zones, in tokens a millisecond. */
export const CROSS_ZONE_TOKENS_PER_MS = 200;

/** Lifetime of a prefill result, in milliseconds. */
export const PREFILL_RESULT_TTL_MS = 800;

/** Prefix cache pieces (KV cache blocks) that the policy tracks for each prefill backend server. */
export const MAX_INDEXED_PIECES = 4_096;
