/**
 * How many connections one entry may open to one backend server. Load pattern:
 * many entries meet a slow backend server, and each new request opens another
 * connection; beyond its limit the backend server resets them all alike. Each
 * entry keeps to its share of the limit, without asking the others.
 */

/** Connections to a backend server whose limit isn't known. */
export const MOST_CONNECTIONS = 64;
/** An entry with fewer would hold up requests without need. */
const LEAST_CONNECTIONS = 8;
/** Part of the limit that is used; entries may be counted too low. */
const USED_SHARE = 0.8;

/** Connections of one of `entries` entries; `limit` is 0 when not known. */
export function connectionShare(limit: number, entries: number): number {
  if (limit <= 0) return MOST_CONNECTIONS;
  const share = Math.floor(limit * USED_SHARE / Math.max(1, entries));
  return Math.min(MOST_CONNECTIONS, Math.max(LEAST_CONNECTIONS, share));
}
