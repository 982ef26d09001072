/** How far the daemons of every zone and office have come. */
import type { RelayPresence, SequenceReport } from "@sassafrascleat/protocol";
import type { Staleness } from "./freshness.ts";

/** Daemons of one availability zone. */
export interface ZoneStatus {
  availabilityZone: string;
  /** Daemons heard of lately. */
  daemons: number;
  /** The lowest sequence in force at one of them. */
  minSequence: number;
  /** Daemons that have not the sequence of the answering daemon in force. */
  lagging: number;
}

/** Zones of one office. */
export interface OfficeStatus {
  office: string;
  zones: ZoneStatus[];
}

/** What the operator API shows of the relay. */
export interface RelayStatus {
  /** Sequence in force at the answering daemon. */
  sequence: number;
  byOffice: OfficeStatus[];
  staleness: Staleness;
  /** Time since the answering daemon last agreed with the store, in milliseconds. */
  confirmedAgeMs: number | undefined;
  /** False when the store was unreadable: other zones may then be missing. */
  complete: boolean;
  /** Whether the answering daemon watches the store. */
  head: boolean;
}

/** One daemon's place and progress. */
export interface DaemonProgress {
  daemonId: string;
  office: string;
  availabilityZone: string;
  sequence: number;
}

/** Members of presence objects as progress of daemons. */
export function progressOf(presence: RelayPresence): DaemonProgress[] {
  return presence.members.map((member) => ({
    daemonId: member.daemonId,
    office: member.office ?? presence.office,
    availabilityZone: member.availabilityZone ?? presence.availabilityZone,
    sequence: member.sequence,
  }));
}

/**
 * Sums up progress by office and zone. A daemon that several sources name
 * counts once with its highest sequence, since a sequence never falls.
 */
export function summarize(
  sequence: number,
  daemons: readonly (DaemonProgress | SequenceReport)[],
): OfficeStatus[] {
  const latest = new Map<string, DaemonProgress>();
  for (const daemon of daemons) {
    const known = latest.get(daemon.daemonId);
    if (!known || known.sequence < daemon.sequence) {
      latest.set(daemon.daemonId, daemon);
    }
  }
  const offices = new Map<string, Map<string, ZoneStatus>>();
  for (const daemon of latest.values()) addDaemon(offices, sequence, daemon);
  return [...offices]
    .map(([office, zones]) => ({ office, zones: sortZones(zones) }))
    .sort((a, b) => a.office < b.office ? -1 : 1);
}

function addDaemon(
  offices: Map<string, Map<string, ZoneStatus>>,
  sequence: number,
  daemon: DaemonProgress,
): void {
  const zones = offices.get(daemon.office) ?? new Map<string, ZoneStatus>();
  offices.set(daemon.office, zones);
  const zone = zones.get(daemon.availabilityZone) ?? {
    availabilityZone: daemon.availabilityZone,
    daemons: 0,
    minSequence: Infinity,
    lagging: 0,
  };
  zone.daemons += 1;
  zone.minSequence = Math.min(zone.minSequence, daemon.sequence);
  if (daemon.sequence < sequence) zone.lagging += 1;
  zones.set(daemon.availabilityZone, zone);
}

function sortZones(zones: Map<string, ZoneStatus>): ZoneStatus[] {
  return [...zones.values()]
    .sort((a, b) => a.availabilityZone < b.availabilityZone ? -1 : 1);
}
