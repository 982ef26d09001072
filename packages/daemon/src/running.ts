/** Common interface of running daemons, whatever their role. */

/** A daemon that has started. */
export interface RunningDaemon {
  /** Bound addresses by listener name, for the startup log. */
  addresses: Record<string, string>;
  /** Stops accepting requests, completes those in flight, then closes. */
  drain(): Promise<void>;
  /** Closes at once. */
  close(): Promise<void>;
}
