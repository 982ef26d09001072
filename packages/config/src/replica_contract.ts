/** The configuration in force at one daemon, as log readers and the relay feed it. */
import type { Change, Snapshot } from "./change.ts";
import type { ConfigView } from "./config_view.ts";

/** What became of a change handed to a replica. */
export enum ApplyResult {
  Applied = "applied",
  /** At or below the sequence in force; ignored. */
  Old = "old",
  /** Not the next sequence; the reader has to fetch what is between. */
  Gap = "gap",
  /** Not a change that the log could have accepted; ignored. */
  Invalid = "invalid",
}

/** A configuration replica; its sequence never falls. */
export interface ConfigReplica extends ConfigView {
  apply(change: Change): ApplyResult;
  /** Changes after `sequence`; undefined when they are no longer kept. */
  changesAfter(sequence: number, limit: number): Change[] | undefined;
  snapshot(): Snapshot;
  /** Replaces the state by a newer one; false when it is not newer. */
  install(snapshot: Snapshot): boolean;
}
