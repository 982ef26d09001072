/**
 * Archive segments: a fixed number of consecutive changes each, stored as one
 * or more pieces. A segment is immutable once the archive head includes it.
 */
import { ABSENT, type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { type Change, changeSchema } from "./change.ts";
import { pieceKey, segmentPrefix } from "./log_keys.ts";
import type { LogSizes } from "./log_sizes.ts";
import { splitItems } from "./pieces.ts";

const pieceSchema = z.object({ changes: z.array(changeSchema) });

/** Reads and writes archive segments in a store. */
export class SegmentStore {
  readonly #store: ObjectStore;
  readonly #sizes: LogSizes;

  constructor(store: ObjectStore, sizes: LogSizes) {
    this.#store = store;
    this.#sizes = sizes;
  }

  /** Returns the segment of a sequence; segments are numbered from 0. */
  segmentOf(sequence: number): number {
    return Math.floor((sequence - 1) / this.#sizes.changesPerSegment);
  }

  /** Returns whether `changes` are all changes of the segment, in order. */
  isComplete(segment: number, changes: readonly Change[]): boolean {
    const size = this.#sizes.changesPerSegment;
    const first = segment * size + 1;
    return changes.length === size &&
      changes.every((change, index) => change.sequence === first + index);
  }

  /**
   * Reads a segment in sequence order; undefined if unreadable or incomplete.
   */
  async read(
    segment: number,
    signal: AbortSignal,
  ): Promise<Change[] | undefined> {
    const prefix = segmentPrefix(segment);
    const listed = await this.#store.list({ prefix }, signal);
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
    return this.isComplete(segment, changes) ? changes : undefined;
  }

  /**
   * Writes a segment and reads it back; false if it is not stored completely.
   */
  async write(
    segment: number,
    changes: readonly Change[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const prefix = segmentPrefix(segment);
    const runs = splitItems(changes, this.#sizes.maxPieceBytes);
    for (const [index, run] of runs.entries()) {
      const key = pieceKey(prefix, index);
      const written = await this.#writePiece(key, { changes: run }, signal);
      if (!written) return false;
    }
    const stored = await this.read(segment, signal);
    return stored !== undefined && isDeepStrictEqual(stored, changes);
  }

  /**
   * Writes one piece. If its key already holds a different piece, left by an
   * interrupted writer of another release, the piece gets an alternate key:
   * overwriting the existing one late could corrupt a segment that is in use.
   */
  async #writePiece(
    key: string,
    value: unknown,
    signal: AbortSignal,
  ): Promise<boolean> {
    const result = await this.#store.put(key, value, ABSENT, signal);
    if (result.status !== StoreStatus.Conflict) {
      return result.status === StoreStatus.Ok;
    }
    if (isDeepStrictEqual(result.current?.value, value)) return true;
    const alternateKey = `${key}-${randomUUID()}`;
    const retried = await this.#store.put(alternateKey, value, ABSENT, signal);
    return retried.status === StoreStatus.Ok;
  }
}
