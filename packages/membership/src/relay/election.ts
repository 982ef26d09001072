/**
 * Which daemons watch the store, and whom everyone else pulls from. The choice
 * needs no agreement: heads hold no authority, so that two daemons that choose
 * differently cost a few more store calls and nothing else.
 */
import { rankNodes, rendezvousRank } from "@sassafrascleat/runtime";
import type { RelayPeer } from "./peer.ts";

/** How many heads a zone has. */
export interface HeadCount {
  /** Fewest heads of a zone. */
  headsPerZone: number;
  /** Daemons that pull from one head before there is another one. */
  followersPerHead: number;
}

/** Splits the daemons of one zone into its heads and all others, by rank. */
export function splitZone<T extends { daemonId: string }>(
  zoneKey: string,
  daemons: readonly T[],
  count: HeadCount,
): { heads: T[]; followers: T[] } {
  const ranked = rankNodes(zoneKey, daemons, (daemon) => daemon.daemonId);
  const bySize = Math.ceil(ranked.length / (1 + count.followersPerHead));
  const heads = Math.max(count.headsPerZone, bySize);
  return { heads: ranked.slice(0, heads), followers: ranked.slice(heads) };
}

/** Names an availability zone of an office as one key. */
export function zoneKeyOf(
  peer: { office: string; availabilityZone: string },
): string {
  return `${peer.office}/${peer.availabilityZone}`;
}

/** Zones of `peers`, in a stable order of closeness to `self`. */
function zonesByCloseness(
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
  const ranked = rankNodes(self.daemonId, [...zones.keys()], (key) => key);
  const distance = (key: string) => {
    const office = key.startsWith(`${self.office}/`);
    if (key === zoneKeyOf(self)) return 0;
    return office ? 1 : 2;
  };
  ranked.sort((a, b) => distance(a) - distance(b));
  return ranked.map((key) => zones.get(key) ?? []);
}

/**
 * Peers in the order in which `self` tries them: the heads of its own zone,
 * heads of the other zones of its office, heads of other offices, and then all
 * others. The daemons of a zone take its heads in turn, so that each head gets
 * the same number of them.
 */
export function pullOrder(
  self: RelayPeer,
  peers: readonly RelayPeer[],
  count: HeadCount,
): RelayPeer[] {
  const own = zoneKeyOf(self);
  const heads: RelayPeer[] = [];
  const others: RelayPeer[] = [];
  for (const zone of zonesByCloseness(self, [self, ...peers])) {
    const key = zoneKeyOf(zone[0]!);
    const split = splitZone(key, zone, count);
    const turn = key === own
      ? split.followers.indexOf(self)
      : rendezvousRank(self.daemonId, key);
    heads.push(...rotate(split.heads, Math.max(0, turn)));
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
