/** Messages between the bench and the sidecar process that it measures. */

/** What the bench sends to start the sidecar. */
export interface StartMessage {
  engineAddress: string;
  secret: string;
}

/** The sidecar serves at `address`. */
export interface StartedMessage {
  address: string;
  incarnation: string;
}

/** What the sidecar process has used so far. */
export interface UsageMessage {
  /** Processor time, in microseconds. */
  cpuUs: number;
  residentMb: number;
  heapMb: number;
}
