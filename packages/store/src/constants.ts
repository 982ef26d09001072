/** Numbers of the store clients. */

/** Time to the answer of a read, in milliseconds. */
export const READ_TIMEOUT_MS = 1_000;

/** Time to the answer of a write, in milliseconds. */
export const WRITE_TIMEOUT_MS = 1_500;

/** Time to open a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Time that an idle connection is kept, in milliseconds. */
export const KEEP_ALIVE_MS = 4_000;

/** Connections that one client opens at most. */
export const MAX_CONNECTIONS = 16;

/** Objects in one list answer when the caller names no limit. */
export const LIST_LIMIT = 1_000;

/** Longest wait of a watch, in milliseconds. */
export const MAX_WATCH_MS = 60_000;

/** Tries to find out what became of one write. */
export const RESOLVE_ATTEMPTS = 6;

/** First wait between two tries of one write, in milliseconds. */
export const RESOLVE_BACKOFF_MS = 50;
