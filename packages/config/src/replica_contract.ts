/**
 * Interface of a daemon's configuration replica, updated from the log and by
 * peers.
 */
import type { Change, Snapshot } from "./change.ts";
import type { ConfigView } from "./config_view.ts";

/** Result of applying a change to a replica. */
export enum ApplyResult {
  Applied = "applied",
  /** At or below the replica's current sequence; ignored. */
  AlreadyApplied = "old",
  /**
   * Not the next sequence; the caller has to fetch the missing changes first.
   */
  Gap = "gap",
  /** Malformed or not applicable to the current state; ignored. */
  Invalid = "invalid",
}

/** A configuration replica; its sequence never decreases. */
export interface ConfigReplica extends ConfigView {
  apply(change: Change): ApplyResult;
  /**
   * Returns changes after `sequence`; undefined if they are no longer in
   * memory.
   */
  changesAfter(sequence: number, limit: number): Change[] | undefined;
  snapshot(): Snapshot;
  /**
   * Replaces the state with a newer snapshot; false if it is not newer or is
   * invalid.
   */
  installSnapshot(snapshot: Snapshot): boolean;
}
