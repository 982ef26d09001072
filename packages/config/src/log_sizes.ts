/** Sizes of the log's documents, the same at every daemon of one store. */
import {
  CHANGES_PER_SEGMENT,
  MAX_PIECE_BYTES,
  MIN_UNARCHIVED_CHANGES,
  SNAPSHOT_INTERVAL_CHANGES,
} from "./constants.ts";

/** How the log is cut into documents. */
export interface LogSizes {
  /** Changes after which a new snapshot is written. */
  snapshotIntervalChanges: number;
  /** Largest piece of a snapshot or a segment, in bytes of JSON. */
  maxPieceBytes: number;
  /** Changes of one archive segment. */
  changesPerSegment: number;
  /** Newest changes that are never archived. */
  minUnarchivedChanges: number;
}

/** The sizes that daemons use. */
export const LOG_SIZES: Readonly<LogSizes> = {
  snapshotIntervalChanges: SNAPSHOT_INTERVAL_CHANGES,
  maxPieceBytes: MAX_PIECE_BYTES,
  changesPerSegment: CHANGES_PER_SEGMENT,
  minUnarchivedChanges: MIN_UNARCHIVED_CHANGES,
};
