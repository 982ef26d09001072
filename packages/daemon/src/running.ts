/** The common shape of a started role. */

/** A daemon that has started. */
export interface RunningDaemon {
  /** Addresses by the listener's name, for the start log. */
  addresses: Record<string, string>;
  /** Stops taking work, finishes what is in flight, then closes. */
  drain(): Promise<void>;
  /** Closes at once. */
  close(): Promise<void>;
}
