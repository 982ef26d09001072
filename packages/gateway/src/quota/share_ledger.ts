/**
 * The shares of one customer's limit that routers hold, as the store keeps them,
 * and the pure operations on them. Entries of routers that want more than is
 * unallocated are granted in proportion to what all routers want.
 */

/** Entry of one router. */
export interface ShareEntry {
  /** Share of the limit that the router may use, from 0 to 1. */
  share: number;
  /** Share that it would use. */
  wanted: number;
  /** Rises with each write of the router, to show that it lives. */
  renewals: number;
}

/** All entries of one customer, by router name. */
export interface CustomerShares {
  /**
   * The epoch of the store in which shares were last acquired. An earlier one
   * than the current shows that the store was restored since.
   */
  epoch: number;
  entries: ReadonlyMap<string, ShareEntry>;
}

/** Shares are multiples of this, so that sums have no rounding errors. */
const SHARE_UNIT = 1e-6;
/** Differences of shares that are not worth a write. */
export const NEGLIGIBLE_SHARE = 0.005;

/** The content of an object that does not exist. */
export const NO_SHARES: CustomerShares = { epoch: 0, entries: new Map() };

/** Rounds a share down to the precision that is stored. */
export function roundShare(share: number): number {
  const units = Math.floor(share / SHARE_UNIT + SHARE_UNIT);
  return Math.min(1, Math.max(0, units * SHARE_UNIT));
}

/** The share that no router holds. */
export function unallocatedShare({ entries }: CustomerShares): number {
  let units = 0;
  for (const { share } of entries.values()) {
    units += Math.ceil(share / SHARE_UNIT - SHARE_UNIT);
  }
  return Math.max(0, 1 - units * SHARE_UNIT);
}

/** Whether another router has less than it wants. */
export function othersLack({ entries }: CustomerShares, name: string): boolean {
  for (const [other, { share, wanted }] of entries) {
    if (other !== name && wanted > share + NEGLIGIBLE_SHARE) return true;
  }
  return false;
}

/** The share that a router may keep while others lack some. */
export function fairShare(
  { entries }: CustomerShares,
  name: string,
  wanted: number,
): number {
  let sum = wanted;
  for (const [other, entry] of entries) {
    if (other !== name) sum += Math.max(entry.wanted, entry.share);
  }
  return wanted / Math.max(1, sum);
}

/** The share that a router with this demand should hold next. */
export function targetShare(
  shares: CustomerShares,
  name: string,
  wanted: number,
): number {
  const held = shares.entries.get(name)?.share ?? 0;
  const obtainable = Math.min(wanted, held + unallocatedShare(shares));
  if (!othersLack(shares, name)) return roundShare(obtainable);
  const fair = fairShare(shares, name, wanted);
  return roundShare(Math.min(obtainable, fair));
}

/** Replaces the entry of a router; undefined removes it. */
export function withEntry(
  shares: CustomerShares,
  name: string,
  entry: ShareEntry | undefined,
): CustomerShares {
  const entries = new Map(shares.entries);
  if (entry) entries.set(name, entry);
  else entries.delete(name);
  return { ...shares, entries };
}

/** Leaves out the entries of routers. */
export function withoutEntries(
  shares: CustomerShares,
  names: ReadonlySet<string>,
): CustomerShares {
  if (names.size === 0) return shares;
  const kept = [...shares.entries].filter(([name]) => !names.has(name));
  return { ...shares, entries: new Map(kept) };
}
