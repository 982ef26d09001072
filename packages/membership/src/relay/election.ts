/**
 * Which daemons watch the store, and whom everyone else pulls from. The choice
 * needs no agreement: heads hold no authority, so that two daemons that choose
 * differently cost a few more store calls and nothing else.
 */
import { rankNodes } from "@sassafrascleat/runtime";
import type { RelayPeer } from "./peer.ts";

/** The heads of one availability zone among `daemons`. */
export function chooseHeads<T extends { daemonId: string }>(
  zoneKey: string,
  daemons: readonly T[],
  count: number,
): T[] {
  return rankNodes(zoneKey, daemons, (daemon) => daemon.daemonId)
    .slice(0, count);
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
 * others. Daemons of one zone spread over its heads by rendezvous hashing.
 */
export function pullOrder(
  self: RelayPeer,
  peers: readonly RelayPeer[],
  headCount: number,
): RelayPeer[] {
  const zones = zonesByCloseness(self, peers);
  const heads = zones.flatMap((zone) => {
    const first = zone[0];
    if (!first) return [];
    const chosen = chooseHeads(zoneKeyOf(first), zone, headCount);
    return rankNodes(self.daemonId, chosen, (peer) => peer.daemonId);
  });
  const isHead = new Set(heads.map((peer) => peer.daemonId));
  const others = zones.flat().filter((peer) => !isHead.has(peer.daemonId));
  return [
    ...heads,
    ...rankNodes(self.daemonId, others, (peer) => peer.daemonId),
  ];
}
