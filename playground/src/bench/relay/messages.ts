/** Messages between the relay bench and its worker processes. */
import type { RelayPeer } from "@sassafrascleat/membership";

/** Where a light daemon stands. */
export type DaemonPlace = Omit<RelayPeer, "address">;

/** Kinds of orders to a worker. */
export enum OrderKind {
  /** Creates the daemons and their listeners. */
  Listen = "listen",
  /** Starts the relays. */
  Start = "start",
  /** Reads the counters of the process. */
  Sample = "sample",
  /** Ends every relay and the process. */
  Stop = "stop",
}

export type WorkerOrder =
  | { kind: OrderKind.Listen; storeUrl: string; places: DaemonPlace[] }
  | { kind: OrderKind.Start; peers: RelayPeer[] }
  | { kind: OrderKind.Sample }
  | { kind: OrderKind.Stop };

/** A change came into force at one daemon, by the machine's monotonic clock. */
export interface InForce {
  sequence: number;
  atMs: number;
}

/** Counters of one worker since its start, and what came into force lately. */
export interface WorkerSample {
  cpuMs: number;
  rssBytes: number;
  heapBytes: number;
  /** Bytes of calls to other daemons, both directions. */
  peerBytes: number;
  /** Bytes of calls to the store, both directions. */
  storeBytes: number;
  /** Bytes of calls from other daemons, both directions. */
  servedBytes: number;
  daemons: number;
  heads: number;
  /** The lowest sequence in force at a daemon of this worker. */
  minSequence: number;
  /** Since the last sample. */
  inForce: InForce[];
}

export type WorkerReply =
  | { kind: OrderKind.Listen; peers: RelayPeer[] }
  | { kind: OrderKind.Start }
  | { kind: OrderKind.Sample; sample: WorkerSample }
  | { kind: OrderKind.Stop };

/** Milliseconds of the monotonic clock that all processes of a machine share. */
export function machineNowMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
