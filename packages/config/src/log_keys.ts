/**
 * Keys of the change log in the store. Sequence numbers are zero-padded, so
 * that keys sort in log order.
 */
import { SEQUENCE_DIGITS } from "./constants.ts";

/** Prefix of the keys of changes that are not archived. */
export const CHANGES_PREFIX = "changes/";

/** Key of the newest snapshot, or of a reference to its pieces. */
export const LATEST_SNAPSHOT_KEY = "snapshots/latest";

/** Prefix of the pieces of large snapshots. */
export const SNAPSHOT_PIECES_PREFIX = "snapshots/pieces/";

/** Key of the record that states how far the log is archived. */
export const ARCHIVE_HEAD_KEY = "archive/head";

function padSequence(number: number): string {
  return String(number).padStart(SEQUENCE_DIGITS, "0");
}

/**
 * Key of the change with this sequence; creating the key accepts the change.
 */
export function changeKey(sequence: number): string {
  return CHANGES_PREFIX + padSequence(sequence);
}

/**
 * Prefix of the pieces of one archive segment; segments are numbered from 0.
 */
export function segmentPrefix(segment: number): string {
  return `archive/segments/${padSequence(segment)}/`;
}

/** Prefix of the pieces of one snapshot written by `writer`. */
export function snapshotPiecesPrefix(sequence: number, writer: string): string {
  return `${SNAPSHOT_PIECES_PREFIX}${padSequence(sequence)}-${writer}/`;
}

/** Key of the piece with this index under `prefix`. */
export function pieceKey(prefix: string, index: number): string {
  return prefix + String(index).padStart(4, "0");
}

/** Key of the record of an accepted patch whose change is archived. */
export function patchKey(patchId: string): string {
  return `patches/${encodeURIComponent(patchId)}`;
}
