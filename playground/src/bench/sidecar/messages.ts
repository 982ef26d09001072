/** Messages between the bench and the measured sidecar process. */

/** Starts the sidecar. */
export interface StartMessage {
  engineAddress: string;
  secret: string;
}

/** Reports that the sidecar listens at `address`. */
export interface StartedMessage {
  address: string;
  incarnation: string;
}

/** CPU time and memory that the sidecar process has used so far. */
export interface UsageMessage {
  /** CPU time, in microseconds. */
  cpuUs: number;
  residentMb: number;
  heapMb: number;
}
