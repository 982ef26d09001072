/** How long the version of a stream has to be known. */

/**
 * Longest time after its beginning in which a stream can be resumed, with a
 * margin for routers that learn of changes late; in milliseconds.
 */
export const RETAIN_MS = 30_000;
