/**
 * Archive segments: runs of `SEGMENT_CHANGES` changes, each in one or more
 * pieces. A segment is never changed once the archive's head names it.
 */
import {
  ABSENT,
  type ObjectStore,
  type StoredObject,
  StoreStatus,
} from "@sassafrascleat/store";
import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { type Change, changeSchema } from "./change.ts";
import { PIECE_BYTES, SEGMENT_CHANGES } from "./constants.ts";
import { pieceKey, segmentPrefix } from "./log_keys.ts";
import { splitItems } from "./pieces.ts";

const pieceSchema = z.object({ changes: z.array(changeSchema) });

/** The segment that a sequence belongs to; segments count from 0. */
export function segmentOf(sequence: number): number {
  return Math.floor((sequence - 1) / SEGMENT_CHANGES);
}

/** Reads a segment in sequence order; undefined when it is not whole. */
export async function readSegment(
  store: ObjectStore,
  segment: number,
  signal: AbortSignal,
): Promise<Change[] | undefined> {
  const prefix = segmentPrefix(segment);
  const listed = await store.list({ prefix }, signal);
  if (listed.status !== StoreStatus.Ok) return undefined;
  const bySequence = new Map<number, Change>();
  for (const object of listed.objects) {
    const parsed = pieceSchema.safeParse(object.value);
    if (!parsed.success) return undefined;
    for (const change of parsed.data.changes) {
      bySequence.set(change.sequence, change);
    }
  }
  const changes = [...bySequence.values()];
  changes.sort((a, b) => a.sequence - b.sequence);
  return isWhole(segment, changes) ? changes : undefined;
}

/** Whether `changes` are all changes of the segment, in order. */
export function isWhole(segment: number, changes: readonly Change[]): boolean {
  const first = segment * SEGMENT_CHANGES + 1;
  return changes.length === SEGMENT_CHANGES &&
    changes.every((change, index) => change.sequence === first + index);
}

/** Writes one piece; a different one that an interrupted writer left goes. */
async function writePiece(
  store: ObjectStore,
  key: string,
  value: unknown,
  signal: AbortSignal,
): Promise<boolean> {
  let expected = ABSENT;
  let current: StoredObject | undefined;
  for (let attempt = 0; attempt < 2; attempt++) {
    const result = await store.put(key, value, expected, signal);
    if (result.status === StoreStatus.Ok) return true;
    if (result.status !== StoreStatus.Conflict) return false;
    current = result.current;
    if (current && isDeepStrictEqual(current.value, value)) return true;
    expected = current?.version ?? ABSENT;
  }
  return false;
}

/** Writes a segment and reads it back; false when it is not stored whole. */
export async function writeSegment(
  store: ObjectStore,
  segment: number,
  changes: readonly Change[],
  signal: AbortSignal,
): Promise<boolean> {
  const prefix = segmentPrefix(segment);
  const runs = splitItems(changes, PIECE_BYTES);
  for (const [index, run] of runs.entries()) {
    const key = pieceKey(prefix, index);
    const written = await writePiece(store, key, { changes: run }, signal);
    if (!written) return false;
  }
  const stored = await readSegment(store, segment, signal);
  return stored !== undefined && isDeepStrictEqual(stored, changes);
}
