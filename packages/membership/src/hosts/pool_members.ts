/**
 * Chooses the bounded subset of a pool that one router process sends requests
 * to. Members are ordered by proximity and then by rendezvous rank, so that the
 * removal of a backend server changes at most one member of the subset. A share
 * of the subset is reserved for other availability zones.
 */
import { rendezvousRank } from "@sassafrascleat/runtime";
import { OTHER_ZONE_SHARE } from "../constants.ts";
import type { HostRecord } from "./host_record.ts";

/** The location of the daemon that the subset is for, and the size of the subset. */
export interface SubsetOwner {
  entryId: string;
  office: string;
  availabilityZone: string;
  subsetSize: number;
}

/** The records of one pool in the owner's order of preference. */
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
 * Chooses the subset: healthy backend servers first, then those that failed and
 * may be tried again. If there are none of either, excluded ones are returned,
 * sorted by the end of their exclusion. Leaving ones are not returned, except
 * when all are leaving and some may have withdrawn their report.
 */
export function chooseSubset(
  owner: SubsetOwner,
  members: PoolMembers,
  nowMs: number,
): HostRecord[] {
  const isUsable = (record: HostRecord) =>
    !record.isLeaving(nowMs) && record.excludedUntilMs <= nowMs;
  const sameZone = members.sameZone.filter(isUsable);
  const otherZones = members.otherZones.filter(isUsable);
  const reservedCount = Math.floor(owner.subsetSize * OTHER_ZONE_SHARE);
  const otherZoneCount = Math.max(
    Math.min(otherZones.length, reservedCount),
    owner.subsetSize - sameZone.length,
  );
  const chosen = [
    ...sameZone.slice(
      0,
      owner.subsetSize - Math.min(otherZoneCount, otherZones.length),
    ),
    ...otherZones.slice(0, otherZoneCount),
  ];
  if (chosen.length === 0) return chooseLastResort(owner, members, nowMs);
  return [
    ...chosen.filter((record) => !record.isSuspect),
    ...chosen.filter((record) => record.isSuspect),
  ];
}

function chooseLastResort(
  owner: SubsetOwner,
  members: PoolMembers,
  nowMs: number,
): HostRecord[] {
  const all = [...members.sameZone, ...members.otherZones];
  const notLeaving = all.filter((record) => !record.isLeaving(nowMs));
  const possiblyReturned = all.filter((record) =>
    record.mayHaveReturned(nowMs)
  );
  return (notLeaving.length > 0 ? notLeaving : possiblyReturned)
    .sort((a, b) => a.excludedUntilMs - b.excludedUntilMs)
    .slice(0, owner.subsetSize);
}
