/** Defaults of a sidecar. */

/**
 * Target time between tokens, which limits the decode slots, in milliseconds.
 */
export const DEFAULT_TBT_TARGET_MS = 43;

/** Maximum number of concurrent decode requests. */
export const DEFAULT_MAX_RUNNING = 20;

/** Maximum number of concurrent calls to a plain service. */
export const DEFAULT_PLAIN_CONCURRENCY = 32;

/** Maximum number of concurrent KV imports. */
export const DEFAULT_MAX_TRANSFERS = 4;

/** Timeout of one KV import, in milliseconds. */
export const DEFAULT_TRANSFER_TIMEOUT_MS = 400;

/**
 * Maximum prompt tokens handed to a prefill engine at once; one larger prompt
 * is allowed.
 */
export const DEFAULT_PREFILL_WINDOW_TOKENS = 4_096;

/** Assumed prefill rate until one is measured, in tokens per second. */
export const INITIAL_PREFILL_RATE = 20_000;

/** Interval between polls of the engine's load, in milliseconds. */
export const LOAD_POLL_INTERVAL_MS = 1_000;

/** Interval between polls of the engine's cache events, in milliseconds. */
export const CACHE_POLL_INTERVAL_MS = 2_000;

/**
 * Longest time that startup waits for the engine's cleanup, in milliseconds.
 */
export const STARTUP_CLEANUP_TIMEOUT_MS = 2_000;

/** Consecutive failed load polls after which an engine counts as down. */
export const LOAD_FAILURES_BEFORE_DOWN = 2;

/**
 * Interval between checks for attempts that were not renewed, in milliseconds.
 */
export const REAP_INTERVAL_MS = 250;

/**
 * Interval between removals of attempts past their retention, in milliseconds.
 */
export const PRUNE_INTERVAL_MS = 5_000;

/**
 * Interval between checks for requests that only the engine still holds, in
 * milliseconds.
 */
export const RECONCILE_INTERVAL_MS = 5_000;

/** First and longest delay between retries of a cancel, in milliseconds. */
export const CANCEL_RETRY_DELAY_MS = 50;
export const CANCEL_RETRY_DELAY_MAX_MS = 1_000;

/**
 * Time after which resuming a broken engine stream is given up, in
 * milliseconds.
 */
export const ENGINE_RESUME_TIMEOUT_MS = 1_000;

/** Delay between two attempts to resume an engine stream, in milliseconds. */
export const ENGINE_RESUME_DELAY_MS = 50;

/** Time for which a finished stream can still be resumed, in milliseconds. */
export const STREAM_RETENTION_MS = 15_000;

/**
 * Time for which a drain still answers resumes after the last request has
 * ended, in milliseconds.
 */
export const DRAIN_LINGER_MS = 1_500;

/** Maximum number of attempts in the ledger, tombstones included. */
export const MAX_LEDGER_ATTEMPTS = 50_000;

/** Limit on the answers of finished plain calls that are kept, in bytes. */
export const MAX_RETAINED_ANSWER_BYTES = 8 * 1024 * 1024;

/** Largest request body that the system listener accepts, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Factor on the expected answer length for which memory is reserved. */
export const OUTPUT_RESERVATION_FACTOR = 1.25;

/**
 * Tokens that an answer longer than expected is assumed to add, as a fraction
 * of the tokens that it has produced.
 */
export const OVERDUE_OUTPUT_RATIO = 0.25;

/**
 * Tokens for which memory is allocated ahead of those that an answer has
 * produced.
 */
export const MEMORY_LOOKAHEAD_TOKENS = 64;

/** Largest `retryAfterMs` in a refusal, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 10_000;

/**
 * Interval between checks for requests in flight during a drain, in
 * milliseconds.
 */
export const DRAIN_POLL_INTERVAL_MS = 20;

/**
 * Shortest predicted wait for capacity that isn't free now, in milliseconds.
 */
export const MIN_PREDICTED_WAIT_MS = 1;

/** Initial value of the mean duration of plain calls, in milliseconds. */
export const INITIAL_CALL_DURATION_MS = 50;

/**
 * Half the width of the interval over which an answer's end is spread around
 * its mean, as a fraction of the mean remaining time.
 */
export const END_TIME_SPREAD = 1;
