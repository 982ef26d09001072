/**
 * The bounded subset of a pool that one entry asks. Members are ordered by
 * closeness and then by rendezvous rank, so that a departure moves one place
 * only; a share of the places belongs to other availability zones.
 */
import { rendezvousRank } from "@sassafrascleat/runtime";
import { OTHER_ZONE_SHARE } from "../constants.ts";
import type { HostRecord } from "./host_record.ts";

/** Where the asking daemon stands, and how many backend servers it asks. */
export interface SubsetOwner {
  entryId: string;
  office: string;
  availabilityZone: string;
  subsetSize: number;
}

/** The records of one pool in the owner's order. */
export interface PoolMembers {
  sameZone: HostRecord[];
  otherZones: HostRecord[];
}

/** Sorts the records of one pool for `owner`. */
export function orderPool(
  owner: SubsetOwner,
  records: readonly HostRecord[],
): PoolMembers {
  const ranked = records.map((record) => ({
    record,
    distance: distanceOf(owner, record),
    rank: rendezvousRank(owner.entryId, record.server.name),
  }));
  ranked.sort((a, b) => a.distance - b.distance || b.rank - a.rank);
  return {
    sameZone: ranked.filter((r) => r.distance === 0).map((r) => r.record),
    otherZones: ranked.filter((r) => r.distance > 0).map((r) => r.record),
  };
}

function distanceOf(owner: SubsetOwner, record: HostRecord): number {
  const { office, availabilityZone } = record.server;
  if (office !== owner.office) return 2;
  return availabilityZone === owner.availabilityZone ? 0 : 1;
}

/**
 * Chooses the subset: healthy ones first, then those that failed and may be
 * tried again. When nothing else is left, excluded ones follow by the end of
 * their exclusion. Leaving ones never appear.
 */
export function chooseSubset(
  owner: SubsetOwner,
  members: PoolMembers,
  nowMs: number,
): HostRecord[] {
  const usable = (record: HostRecord) =>
    !record.isLeaving(nowMs) && record.excludedUntilMs <= nowMs;
  const near = members.sameZone.filter(usable);
  const far = members.otherZones.filter(usable);
  const reserved = Math.floor(owner.subsetSize * OTHER_ZONE_SHARE);
  const farCount = Math.max(
    Math.min(far.length, reserved),
    owner.subsetSize - near.length,
  );
  const chosen = [
    ...near.slice(0, owner.subsetSize - Math.min(farCount, far.length)),
    ...far.slice(0, farCount),
  ];
  if (chosen.length === 0) return lastResort(owner, members, nowMs);
  return [
    ...chosen.filter((record) => !record.isSuspect),
    ...chosen.filter((record) => record.isSuspect),
  ];
}

function lastResort(
  owner: SubsetOwner,
  members: PoolMembers,
  nowMs: number,
): HostRecord[] {
  const all = [...members.sameZone, ...members.otherZones];
  const staying = all.filter((record) => !record.isLeaving(nowMs));
  const returned = all.filter((record) => record.mayHaveReturned(nowMs));
  return (staying.length > 0 ? staying : returned)
    .sort((a, b) => a.excludedUntilMs - b.excludedUntilMs)
    .slice(0, owner.subsetSize);
}
