/** Timeouts and limits of the store clients. */

/** Timeout of a read, in milliseconds. */
export const READ_TIMEOUT_MS = 1_000;

/** Timeout of a write, in milliseconds. */
export const WRITE_TIMEOUT_MS = 1_500;

/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Time after which an idle connection is closed, in milliseconds. */
export const KEEP_ALIVE_MS = 4_000;

/** Maximum number of connections per client. */
export const MAX_CONNECTIONS = 16;

/** Maximum number of objects in a list response when the caller sets no limit. */
export const LIST_LIMIT = 1_000;

/** Maximum time that a watch waits for an event, in milliseconds. */
export const MAX_WATCH_MS = 60_000;

/** Maximum number of attempts of one write, the first included. */
export const RESOLVE_ATTEMPTS = 6;

/** Initial delay between attempts of one write, in milliseconds. */
export const RESOLVE_BACKOFF_MS = 50;
