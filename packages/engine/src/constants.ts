/** Numbers of the HTTP form between a sidecar and its backend server. */

/** Silence after which a stream from an engine counts as dead, in milliseconds. */
export const ENGINE_SILENCE_MS = 700;

/** Interval between heartbeats that an engine sends on a stream, in milliseconds. */
export const ENGINE_HEARTBEAT_MS = 200;

/** Time to the answer of a short engine call, in milliseconds. */
export const ENGINE_CALL_TIMEOUT_MS = 500;

/** Time to open a connection to a backend server, in milliseconds. */
export const ENGINE_CONNECT_TIMEOUT_MS = 500;

/** Times that an idempotent call is sent again on a new connection. */
export const ENGINE_RESENDS = 2;
