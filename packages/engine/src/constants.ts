/** Timeouts and limits of HTTP calls from a sidecar to its backend server. */

/** Time without data after which an engine's stream is aborted, in milliseconds. */
export const ENGINE_STREAM_TIMEOUT_MS = 700;

/** Interval between heartbeats that an engine sends on a stream, in milliseconds. */
export const ENGINE_HEARTBEAT_MS = 200;

/** Timeout of a JSON call to an engine, in milliseconds. */
export const ENGINE_CALL_TIMEOUT_MS = 500;

/** Timeout for opening a connection to a backend server, in milliseconds. */
export const ENGINE_CONNECT_TIMEOUT_MS = 500;

/**
 * Maximum number of times that a prefill or decode is sent again on a new
 * connection. For a JSON call it is the total number of attempts. Engine calls
 * are idempotent, so that sending them again is safe.
 */
export const ENGINE_MAX_RETRIES = 2;
