/** Summarizes the configuration progress of the daemons of every zone and office. */
import type { RelayPresence, SequenceReport } from "@sassafrascleat/protocol";
import type { Staleness } from "./freshness.ts";

/** Status of the daemons of one availability zone. */
export interface ZoneStatus {
  availabilityZone: string;
  /** Number of daemons with a recent report. */
  daemons: number;
  /** The lowest active sequence among them. */
  minSequence: number;
  /** Number of daemons whose active sequence is lower than that of the answering daemon. */
  lagging: number;
}

/** Status of the zones of one office. */
export interface OfficeStatus {
  office: string;
  zones: ZoneStatus[];
}

/** The relay status that the operator API returns. */
export interface RelayStatus {
  /** Active sequence of the answering daemon. */
  sequence: number;
  byOffice: OfficeStatus[];
  staleness: Staleness;
  /** Time since the answering daemon's configuration was last confirmed, in milliseconds. */
  confirmedAgeMs: number | undefined;
  /** False if presence is not configured or could not be read: other zones may then be missing. */
  complete: boolean;
  /** Whether the answering daemon watches the store. */
  head: boolean;
}

/** Location and configuration progress of one daemon. */
export interface DaemonProgress {
  daemonId: string;
  office: string;
  availabilityZone: string;
  sequence: number;
}

/** Converts the members of a presence object to daemon progress. */
export function progressOf(presence: RelayPresence): DaemonProgress[] {
  return presence.members.map((member) => ({
    daemonId: member.daemonId,
    office: member.office ?? presence.office,
    availabilityZone: member.availabilityZone ?? presence.availabilityZone,
    sequence: member.sequence,
  }));
}

/**
 * Summarizes progress by office and zone. A daemon that several sources report
 * counts once, with its highest sequence, because a sequence never decreases.
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
