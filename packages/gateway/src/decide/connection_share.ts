/**
 * Limits the connections that one router may open to one backend server. When
 * many routers call a slow backend server, each new request opens another
 * connection, and above its limit the backend server resets connections of all
 * routers alike. Each router therefore stays within an equal share of the
 * limit, without coordination.
 */

/** Maximum per backend server; also used if its limit is unknown. */
export const MAX_CONNECTIONS = 64;
/** Minimum share: with fewer connections, requests would wait needlessly. */
const MIN_CONNECTIONS = 8;
/** Used part of the limit, since the routers may be undercounted. */
const USABLE_SHARE = 0.8;

/** Connections for one of `routerCount` routers; a `limit` of 0 is unknown. */
export function connectionShare(limit: number, routerCount: number): number {
  if (limit <= 0) return MAX_CONNECTIONS;
  const share = Math.floor(limit * USABLE_SHARE / Math.max(1, routerCount));
  return Math.min(MAX_CONNECTIONS, Math.max(MIN_CONNECTIONS, share));
}
