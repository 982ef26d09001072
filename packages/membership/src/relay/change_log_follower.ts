/** The store's change log as a relay head reads it into the replica. */

/** Reads the change log into the replica of this daemon. */
export interface ChangeLogFollower {
  /**
   * Applies what the store has beyond the replica; with nothing new it waits
   * up to `waitMs` for a change. True when the store answered, and so the
   * replica agrees with it.
   */
  poll(waitMs: number, signal: AbortSignal): Promise<boolean>;
}
