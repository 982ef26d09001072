/**
 * Keys of the change log in the store. Sequence numbers are padded, so that
 * the order of keys is the order of the log.
 */
import { SEQUENCE_DIGITS } from "./constants.ts";

/** Prefix of the changes that are not archived. */
export const CHANGES_PREFIX = "changes/";

/** The newest snapshot, or the list of its pieces. */
export const LATEST_SNAPSHOT_KEY = "snapshots/latest";

/** Prefix of the pieces of large snapshots. */
export const SNAPSHOT_PIECES_PREFIX = "snapshots/pieces/";

/** How far the log is archived. */
export const ARCHIVE_HEAD_KEY = "archive/head";

function padSequence(number: number): string {
  return String(number).padStart(SEQUENCE_DIGITS, "0");
}

/** Key whose creation is the acceptance of the change with this sequence. */
export function changeKey(sequence: number): string {
  return CHANGES_PREFIX + padSequence(sequence);
}

/** Prefix of the pieces of one archive segment; segments count from 0. */
export function segmentPrefix(segment: number): string {
  return `archive/segments/${padSequence(segment)}/`;
}

/** Prefix of the pieces of one snapshot of one writer. */
export function snapshotPiecesPrefix(sequence: number, writer: string): string {
  return `${SNAPSHOT_PIECES_PREFIX}${padSequence(sequence)}-${writer}/`;
}

/** Key of one piece below a prefix. */
export function pieceKey(prefix: string, index: number): string {
  return prefix + String(index).padStart(4, "0");
}

/** Key that records an accepted patch after its change was archived. */
export function patchKey(patchId: string): string {
  return `patches/${encodeURIComponent(patchId)}`;
}
