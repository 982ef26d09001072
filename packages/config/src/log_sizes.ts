/** Sizes of the log's documents, the same at every daemon of one store. */
import {
  KEPT_TAIL,
  PIECE_BYTES,
  SEGMENT_CHANGES,
  SNAPSHOT_EVERY,
} from "./constants.ts";

/** How the log is cut into documents. */
export interface LogSizes {
  /** Changes after which a new snapshot is written. */
  snapshotEvery: number;
  /** Largest piece of a snapshot or a segment, in bytes of JSON. */
  pieceBytes: number;
  /** Changes of one archive segment. */
  segmentChanges: number;
  /** Newest changes that are never archived. */
  keptTail: number;
}

/** The sizes that daemons use. */
export const LOG_SIZES: Readonly<LogSizes> = {
  snapshotEvery: SNAPSHOT_EVERY,
  pieceBytes: PIECE_BYTES,
  segmentChanges: SEGMENT_CHANGES,
  keptTail: KEPT_TAIL,
};
