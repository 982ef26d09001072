/**
 * Snapshots in the store. `snapshots/latest` is written conditionally, and only
 * with a higher sequence. It holds the snapshot, or the prefix and number of
 * its pieces if the snapshot exceeds the size limit of one value.
 */
import {
  ABSENT,
  type ObjectStore,
  type StoredObject,
  StoreStatus,
} from "@sassafrascleat/store";
import { z } from "zod";
import { type Snapshot, snapshotSchema } from "./change.ts";
import {
  LATEST_SNAPSHOT_KEY,
  pieceKey,
  SNAPSHOT_PIECES_PREFIX,
  snapshotPiecesPrefix,
} from "./log_keys.ts";
import type { LogSizes } from "./log_sizes.ts";
import { splitItems } from "./pieces.ts";

/** The value of `snapshots/latest`. */
const latestRecordSchema = z.object({
  sequence: z.number().int().min(0),
  /** The complete snapshot, if it fits into one value. */
  snapshot: snapshotSchema.optional(),
  /** Key prefix of the pieces, if the snapshot is split. */
  piecesPrefix: z.string().optional(),
  pieces: z.number().int().default(0),
});
type LatestRecord = z.infer<typeof latestRecordSchema>;

/** One piece, with a part of the lists of the snapshot. */
const pieceSchema = snapshotSchema.omit({ sequence: true }).partial();
type Piece = z.infer<typeof pieceSchema>;

/** The value of `snapshots/latest` with its version in the store. */
interface StoredLatest {
  version: number;
  latest: LatestRecord | undefined;
}

/** Result of a read; `snapshot` is undefined if none has been written yet. */
export type SnapshotRead =
  | { status: StoreStatus.Ok; snapshot: Snapshot | undefined }
  | { status: StoreStatus.Unavailable; message: string };

function unavailable(message: string): SnapshotRead {
  return { status: StoreStatus.Unavailable, message };
}

function toPieces(snapshot: Snapshot, maxBytes: number): Piece[] {
  const { objects, deleted, recentPatches } = snapshot;
  return [
    ...splitItems(objects, maxBytes).map((run) => ({ objects: run })),
    ...splitItems(deleted, maxBytes).map((run) => ({ deleted: run })),
    ...splitItems(recentPatches, maxBytes)
      .map((run) => ({ recentPatches: run })),
  ];
}

function fromPieces(sequence: number, pieces: readonly Piece[]): Snapshot {
  return {
    sequence,
    objects: pieces.flatMap((piece) => piece.objects ?? []),
    deleted: pieces.flatMap((piece) => piece.deleted ?? []),
    recentPatches: pieces.flatMap((piece) => piece.recentPatches ?? []),
  };
}

/** Reads and writes the newest snapshot. */
export class SnapshotStore {
  readonly #store: ObjectStore;
  readonly #sizes: LogSizes;
  readonly #writer: string;

  /** `writer` makes the keys of the pieces unique to this daemon. */
  constructor(store: ObjectStore, sizes: LogSizes, writer: string) {
    this.#store = store;
    this.#sizes = sizes;
    this.#writer = writer;
  }

  /** Reads the newest snapshot. */
  async read(signal: AbortSignal): Promise<SnapshotRead> {
    const stored = await this.#readLatest(signal);
    if (!stored) return unavailable("the newest snapshot can't be read");
    const { latest } = stored;
    if (!latest) return { status: StoreStatus.Ok, snapshot: undefined };
    if (latest.snapshot) {
      return { status: StoreStatus.Ok, snapshot: latest.snapshot };
    }
    const pieces = await this.#readPieces(latest, signal);
    if (!pieces) return unavailable("pieces of the snapshot can't be read");
    const snapshot = fromPieces(latest.sequence, pieces);
    return { status: StoreStatus.Ok, snapshot };
  }

  /**
   * Reads the sequence of the newest snapshot; 0 if none, undefined if
   * unreadable.
   */
  async sequence(signal: AbortSignal): Promise<number | undefined> {
    const stored = await this.#readLatest(signal);
    return stored && (stored.latest?.sequence ?? 0);
  }

  /**
   * Writes `snapshot` unless the stored one is at least as new; false if the
   * write failed.
   */
  async write(snapshot: Snapshot, signal: AbortSignal): Promise<boolean> {
    const stored = await this.#readLatest(signal);
    if (!stored) return false;
    if ((stored.latest?.sequence ?? -1) >= snapshot.sequence) return true;
    const latest = await this.#writePieces(snapshot, signal);
    if (!latest) return false;
    const result = await this.#store.put(
      LATEST_SNAPSHOT_KEY,
      latest,
      stored.version,
      signal,
    );
    if (result.status !== StoreStatus.Ok) return false;
    const oldestKeptPrefix = stored.latest?.piecesPrefix ?? latest.piecesPrefix;
    if (oldestKeptPrefix) {
      await this.#deletePiecesBefore(oldestKeptPrefix, signal);
    }
    return true;
  }

  async #readLatest(signal: AbortSignal): Promise<StoredLatest | undefined> {
    const read = await this.#store.get(LATEST_SNAPSHOT_KEY, signal);
    if (read.status !== StoreStatus.Ok) return undefined;
    if (!read.object) return { version: ABSENT, latest: undefined };
    const parsed = latestRecordSchema.safeParse(read.object.value);
    if (!parsed.success) return undefined;
    return { version: read.object.version, latest: parsed.data };
  }

  async #readPieces(
    latest: LatestRecord,
    signal: AbortSignal,
  ): Promise<Piece[] | undefined> {
    const pieces: Piece[] = [];
    for (let index = 0; index < latest.pieces; index++) {
      const key = pieceKey(latest.piecesPrefix ?? "", index);
      const read = await this.#store.get(key, signal);
      if (read.status !== StoreStatus.Ok) return undefined;
      const parsed = pieceSchema.safeParse(read.object?.value);
      if (!parsed.success) return undefined;
      pieces.push(parsed.data);
    }
    return pieces;
  }

  async #writePieces(
    snapshot: Snapshot,
    signal: AbortSignal,
  ): Promise<LatestRecord | undefined> {
    const { sequence } = snapshot;
    const bytes = Buffer.byteLength(JSON.stringify(snapshot));
    const { maxPieceBytes } = this.#sizes;
    if (bytes <= maxPieceBytes) return { sequence, snapshot, pieces: 0 };
    const piecesPrefix = snapshotPiecesPrefix(sequence, this.#writer);
    const pieces = toPieces(snapshot, maxPieceBytes);
    for (const [index, piece] of pieces.entries()) {
      const key = pieceKey(piecesPrefix, index);
      const result = await this.#store.put(key, piece, ABSENT, signal);
      const written = result.status === StoreStatus.Ok ||
        result.status === StoreStatus.Conflict;
      if (!written) return undefined;
    }
    return { sequence, piecesPrefix, pieces: pieces.length };
  }

  /**
   * Deletes the pieces of snapshots older than the previous one, whose keys
   * sort before `key`.
   */
  async #deletePiecesBefore(key: string, signal: AbortSignal): Promise<void> {
    const listed = await this.#store.list(
      { prefix: SNAPSHOT_PIECES_PREFIX },
      signal,
    );
    if (listed.status !== StoreStatus.Ok) return;
    const old = (object: StoredObject) => object.key < key;
    for (const object of listed.objects.filter(old)) {
      await this.#store.delete(object.key, object.version, signal);
    }
  }
}
