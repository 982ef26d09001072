/** Constants on which both ends of a connection have to agree. */

/** Tokens per piece, the unit of an engine's KV cache memory. */
export const TOKENS_PER_PIECE = 2_000;

/** Estimated number of characters per prompt token. */
export const CHARS_PER_TOKEN = 4;

/** Highest priority of prefill work that can no longer meet its latency target. */
export const MAX_LATE_PRIORITY = -1;

/** Interval between heartbeats on an open stream, in milliseconds. */
export const STREAM_HEARTBEAT_MS = 200;

/** Time without data after which a stream's connection is dead, in milliseconds. */
export const STREAM_TIMEOUT_MS = 700;

/** Interval at which an entry renews its requests at a sidecar, in milliseconds. */
export const RENEW_INTERVAL_MS = 500;

/** Time without renewal after which a sidecar cancels a request, in milliseconds. */
export const RENEW_TIMEOUT_MS = 2_000;

/** Timeout of a control call, after which it is sent again, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 400;

/** Time after which a reservation that was not started expires, in milliseconds. */
export const GRANT_TTL_MS = 5_000;

/** Retention of tombstones and finished responses at a sidecar, in milliseconds. */
export const ATTEMPT_RETENTION_MS = 600_000;

/** Validity of an idempotency key after it was claimed, in milliseconds. */
export const IDEMPOTENCY_KEY_RETENTION_MS = 86_400_000;

/** Header with the shared secret for calls between the router's processes. */
export const SYSTEM_SECRET_HEADER = "x-sassafrascleat-secret";

/** Header with the request id, set on every response to a caller. */
export const REQUEST_ID_HEADER = "x-request-id";
