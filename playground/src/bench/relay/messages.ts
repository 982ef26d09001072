/** Messages between the relay bench and its worker processes. */
import type { RelayPeer } from "@sassafrascleat/membership";

/** Identifier and location of a daemon. */
export type DaemonIdentity = Omit<RelayPeer, "address">;

/** Kinds of commands to a worker. */
export enum CommandKind {
  /** Creates the daemons and their listeners. */
  Listen = "listen",
  /** Starts the relays. */
  Start = "start",
  /** Reads the counters of the process. */
  Sample = "sample",
  /** Stops every relay and exits the process. */
  Stop = "stop",
}

export type WorkerCommand =
  | { kind: CommandKind.Listen; storeUrl: string; places: DaemonIdentity[] }
  | { kind: CommandKind.Start; peers: RelayPeer[] }
  | { kind: CommandKind.Sample }
  | { kind: CommandKind.Stop };

/** A change that one daemon applied, timed by the host's monotonic clock. */
export interface AppliedChange {
  sequence: number;
  atMs: number;
}

/** Counters of one worker since its start, and recently applied changes. */
export interface WorkerSample {
  cpuMs: number;
  rssBytes: number;
  heapBytes: number;
  /** Bytes of outgoing calls to other daemons, in both directions. */
  peerBytes: number;
  /** Bytes of calls to the store, in both directions. */
  storeBytes: number;
  /** Bytes of incoming calls from other daemons, in both directions. */
  servedBytes: number;
  daemons: number;
  heads: number;
  /** Lowest sequence that a daemon of this worker has applied. */
  minSequence: number;
  /** Changes applied since the last sample. */
  inForce: AppliedChange[];
}

export type WorkerReply =
  | { kind: CommandKind.Listen; peers: RelayPeer[] }
  | { kind: CommandKind.Start }
  | { kind: CommandKind.Sample; sample: WorkerSample }
  | { kind: CommandKind.Stop };

/**
 * Reads the monotonic clock that all processes of a host share, in
 * milliseconds.
 */
export function monotonicNowMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
