/** Defaults of a sidecar. */

/** Target between tokens that bounds the slots, in milliseconds. */
export const DEFAULT_TBT_TARGET_MS = 43;

/** Decode requests at a time at most. */
export const DEFAULT_MAX_RUNNING = 20;

/** Calls at a time to a plain service. */
export const DEFAULT_PLAIN_CONCURRENCY = 32;

/** KV imports at a time. */
export const DEFAULT_MAX_TRANSFERS = 4;

/** Time for one KV import, in milliseconds. */
export const DEFAULT_TRANSFER_TIMEOUT_MS = 400;

/** Prompt tokens handed to a prefill engine ahead of need. */
export const DEFAULT_PREFILL_WINDOW_TOKENS = 4_096;

/** Assumed prefill rate before one was measured, in tokens a second. */
export const INITIAL_PREFILL_RATE = 20_000;

/** Interval between polls of the engine's load, in milliseconds. */
export const LOAD_POLL_MS = 1_000;

/** Interval between polls of the engine's cache events, in milliseconds. */
export const CACHE_POLL_MS = 2_000;

/** Time that a start waits for the engine to be cleaned up, in milliseconds. */
export const STARTUP_CLEAN_MS = 2_000;

/** Failed polls in a row after which an engine counts as down. */
export const LOAD_FAILURES_DOWN = 2;

/** Interval between looks for attempts that were not renewed, in milliseconds. */
export const REAP_INTERVAL_MS = 250;

/** Interval between looks for attempts to forget, in milliseconds. */
export const PRUNE_INTERVAL_MS = 5_000;

/** Interval between comparisons with what the engine holds, in milliseconds. */
export const RECONCILE_INTERVAL_MS = 5_000;

/** First and longest delay between cancels of one request, in milliseconds. */
export const CANCEL_RETRY_MS = 50;
export const CANCEL_RETRY_MAX_MS = 1_000;

/** Time for which a broken engine stream is resumed, in milliseconds. */
export const ENGINE_RESUME_MS = 1_000;

/** Delay between two resumes of an engine stream, in milliseconds. */
export const ENGINE_RESUME_DELAY_MS = 50;

/** Time that a finished stream can still be resumed, in milliseconds. */
export const STREAM_RETENTION_MS = 15_000;

/** Time after the last end during which a drain still answers resumes, in milliseconds. */
export const DRAIN_LINGER_MS = 1_500;

/** Attempts, tombstones included, that the ledger holds. */
export const LEDGER_CAPACITY = 50_000;

/** Bytes of finished plain answers that are kept. */
export const ANSWER_BYTES_CAPACITY = 8 * 1024 * 1024;

/** Largest body that the system listener takes, in bytes. */
export const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** Share of the expected answer that is set aside as memory. */
export const GROWTH_MARGIN = 1.25;

/** Share of the produced tokens that an overdue answer is expected to add. */
export const OVERDUE_SHARE = 0.25;

/** Tokens ahead of need at which an answer takes its next memory piece. */
export const GROWTH_LEAD_TOKENS = 64;

/** Longest `retryAfterMs` of a refusal, in milliseconds. */
export const FULL_RETRY_MAX_MS = 10_000;

/** Interval between looks at the work in flight during a drain, in milliseconds. */
export const DRAIN_POLL_MS = 20;

/** Shortest prediction for a place that isn't free now, in milliseconds. */
export const MIN_WAIT_MS = 1;

/** Assumed time of a plain call before one was measured, in milliseconds. */
export const INITIAL_CALL_MS = 50;

/** Half width of the spread of an answer's end around its mean, as a share. */
export const END_SPREAD = 1;
