/**
 * Sizes of the log's documents. All daemons that share a store must use the
 * same sizes.
 */
import {
  CHANGES_PER_SEGMENT,
  MAX_PIECE_BYTES,
  MIN_UNARCHIVED_CHANGES,
  SNAPSHOT_INTERVAL_CHANGES,
} from "./constants.ts";

/** How the log is split into snapshots, segments and pieces. */
export interface LogSizes {
  /** Number of changes after which a new snapshot is written. */
  snapshotIntervalChanges: number;
  /** Largest piece of a snapshot or a segment, in bytes of JSON. */
  maxPieceBytes: number;
  /** Number of changes in one archive segment. */
  changesPerSegment: number;
  /** Number of newest changes that stay out of the archive. */
  minUnarchivedChanges: number;
}

/** The sizes used in production. */
export const LOG_SIZES: Readonly<LogSizes> = {
  snapshotIntervalChanges: SNAPSHOT_INTERVAL_CHANGES,
  maxPieceBytes: MAX_PIECE_BYTES,
  changesPerSegment: CHANGES_PER_SEGMENT,
  minUnarchivedChanges: MIN_UNARCHIVED_CHANGES,
};
