/**
 * Selects the heads, which watch the store, and the order in which a daemon
 * tries its peers. Daemons select independently, without consensus: heads have
 * no authority, so a disagreement only costs a few extra store calls.
 */
import { rankCandidates, rendezvousRank } from "@sassafrascleat/runtime";
import type { RelayPeer } from "./peer.ts";

/** Settings for the number of heads in a zone. */
export interface HeadCount {
  /** Minimum number of heads. */
  headsPerZone: number;
  /** Number of daemons that pull from one head before there is another. */
  followersPerHead: number;
}

/** Splits the daemons of one zone into heads and followers, by rendezvous rank. */
export function splitZone<T extends { daemonId: string }>(
  zoneKey: string,
  daemons: readonly T[],
  count: HeadCount,
): { heads: T[]; followers: T[] } {
  const ranked = rankCandidates(zoneKey, daemons, (daemon) => daemon.daemonId);
  const bySize = Math.ceil(ranked.length / (1 + count.followersPerHead));
  const heads = Math.max(count.headsPerZone, bySize);
  return { heads: ranked.slice(0, heads), followers: ranked.slice(heads) };
}

/** Returns a key for an availability zone of an office. */
export function zoneKeyOf(
  peer: { office: string; availabilityZone: string },
): string {
  return `${peer.office}/${peer.availabilityZone}`;
}

/** Groups `peers` by zone, in a stable order of proximity to `self`. */
function zonesByProximity(
  self: RelayPeer,
  peers: readonly RelayPeer[],
): RelayPeer[][] {
  const zones = new Map<string, RelayPeer[]>();
  for (const peer of peers) {
    const key = zoneKeyOf(peer);
    const zone = zones.get(key);
    if (zone) zone.push(peer);
    else zones.set(key, [peer]);
  }
  const ranked = rankCandidates(self.daemonId, [...zones.keys()], (key) => key);
  const distance = (key: string) => {
    const isSameOffice = key.startsWith(`${self.office}/`);
    if (key === zoneKeyOf(self)) return 0;
    return isSameOffice ? 1 : 2;
  };
  ranked.sort((a, b) => distance(a) - distance(b));
  return ranked.map((key) => zones.get(key) ?? []);
}

/**
 * Returns the peers in the order in which `self` tries them: the heads of its
 * zone, heads of other zones of its office, heads of other offices, and then
 * all followers. The followers of a zone are assigned to its heads round-robin,
 * so that the heads have equal load.
 */
export function pullOrder(
  self: RelayPeer,
  peers: readonly RelayPeer[],
  count: HeadCount,
): RelayPeer[] {
  const selfKey = zoneKeyOf(self);
  const heads: RelayPeer[] = [];
  const others: RelayPeer[] = [];
  for (const zone of zonesByProximity(self, [self, ...peers])) {
    const key = zoneKeyOf(zone[0]!);
    const split = splitZone(key, zone, count);
    const offset = key === selfKey
      ? split.followers.indexOf(self)
      : rendezvousRank(self.daemonId, key);
    heads.push(...rotate(split.heads, Math.max(0, offset)));
    others.push(...split.followers);
  }
  return [...heads, ...rotate(others, rendezvousRank(self.daemonId, ""))]
    .filter((peer) => peer !== self);
}

function rotate<T>(items: readonly T[], by: number): T[] {
  if (items.length === 0) return [];
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
