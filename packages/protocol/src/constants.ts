/** Numbers that both ends of a connection have to agree on. */

/** Tokens held by one piece of engine memory. */
export const TOKENS_PER_PIECE = 2_000;

/** Characters that one prompt token is estimated to have. */
export const CHARS_PER_TOKEN = 4;

/** Highest priority of prefill work that can no longer meet its target. */
export const LATE_PRIORITY = -1;

/** Interval between heartbeats on an open stream, in milliseconds. */
export const STREAM_HEARTBEAT_MS = 200;

/** Silence after which a stream's connection counts as dead, in milliseconds. */
export const STREAM_SILENCE_MS = 700;

/** Interval at which an entry renews its requests at a sidecar, in milliseconds. */
export const RENEW_INTERVAL_MS = 500;

/** Time without renewal after which a sidecar cancels a request, in milliseconds. */
export const RENEW_GRACE_MS = 2_000;

/** Time to an answer of a control call before it is sent again, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 400;

/** Lifetime of a reservation that was not started, in milliseconds. */
export const GRANT_TTL_MS = 5_000;

/** Time a sidecar keeps tombstones and finished answers, in milliseconds. */
export const LEDGER_RETENTION_MS = 600_000;

/** Time that an idempotency key is honoured after its claim, in milliseconds. */
export const CLAIM_RETENTION_MS = 86_400_000;

/** Header with the secret of calls between the system's own processes. */
export const SYSTEM_SECRET_HEADER = "x-sassafrascleat-secret";

/** Header with the request id, on every answer to a caller. */
export const REQUEST_ID_HEADER = "x-request-id";
