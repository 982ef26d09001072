/**
 * Moves old changes from their own keys into archive segments. The order of
 * the steps keeps every audit entry readable at each moment: the segment is
 * written and read back, patch ids are recorded, the head moves, and only then
 * the change keys go. Any step may be repeated by another daemon.
 */
import { createLogger, sleep } from "@sassafrascleat/runtime";
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import {
  readArchiveHead,
  type StoredArchiveHead,
  writeArchiveHead,
} from "./archive_head.ts";
import type { Change } from "./change.ts";
import {
  COMPACTION_PAUSE_MS,
  LIST_PAGE,
  PATCH_ID_RETENTION_MS,
} from "./constants.ts";
import { changeKey, CHANGES_PREFIX } from "./log_keys.ts";
import { parseChange } from "./log_reader.ts";
import { forgetPatch, recordPatch } from "./patch_records.ts";
import type { LogSizes } from "./log_sizes.ts";
import type { SegmentStore } from "./segments.ts";

const log = createLogger("config");

/** Options of an archiver. */
export interface ArchiverOptions {
  store: ObjectStore;
  segments: SegmentStore;
  sizes: LogSizes;
  /** Milliseconds since 1970, to end the retention of patch ids. */
  wallClock: () => number;
  /** Pause between two writes, in milliseconds. @default 10 */
  pauseMs?: number;
}

/** Archives the log of one store. */
export class Archiver {
  readonly #store: ObjectStore;
  readonly #segments: SegmentStore;
  readonly #sizes: LogSizes;
  readonly #wallClock: () => number;
  readonly #pauseMs: number;

  constructor(options: ArchiverOptions) {
    this.#store = options.store;
    this.#segments = options.segments;
    this.#sizes = options.sizes;
    this.#wallClock = options.wallClock;
    this.#pauseMs = options.pauseMs ?? COMPACTION_PAUSE_MS;
  }

  /**
   * Archives whole segments that end `keptTail` changes before `sequence`, the
   * sequence of the newest snapshot.
   */
  async run(sequence: number, signal: AbortSignal): Promise<void> {
    const { keptTail, segmentChanges } = this.#sizes;
    const limit = sequence - keptTail;
    while (!signal.aborted) {
      const head = await readArchiveHead(this.#store, signal);
      if (!head) return;
      await this.#deleteArchived(head.through, signal);
      if (head.through + segmentChanges > limit) return;
      const archived = await this.#archiveNext(head, signal);
      if (!archived) return;
    }
  }

  async #archiveNext(
    head: StoredArchiveHead,
    signal: AbortSignal,
  ): Promise<boolean> {
    const segment = head.segments;
    const changes = await this.#readChanges(head.through);
    if (!this.#segments.isWhole(segment, changes)) return false;
    const written = await this.#segments.write(segment, changes, signal);
    if (!written) return false;
    const recorded = await this.#recordPatches(changes, signal);
    if (!recorded) return false;
    const next = {
      through: head.through + this.#sizes.segmentChanges,
      segments: segment + 1,
      firstPatchSegment: await this.#forgetOldPatches(head, signal),
    };
    const moved = await writeArchiveHead(
      this.#store,
      next,
      head.version,
      signal,
    );
    log("segment_archived", { segment, through: next.through, moved });
    return moved;
  }

  async #recordPatches(
    changes: readonly Change[],
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const change of changes) {
      const recorded = await recordPatch(this.#store, change, signal);
      if (!recorded) return false;
      await sleep(this.#pauseMs, signal);
    }
    return true;
  }

  async #readChanges(through: number): Promise<Change[]> {
    const listed = await this.#store.list({
      prefix: CHANGES_PREFIX,
      after: changeKey(through),
      limit: this.#sizes.segmentChanges,
    });
    if (listed.status !== StoreStatus.Ok) return [];
    return listed.objects.map(parseChange).filter((item) => item !== undefined);
  }

  /** Deletes change keys at or below `through`, leftovers included. */
  async #deleteArchived(through: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const listed = await this.#store.list(
        { prefix: CHANGES_PREFIX, limit: LIST_PAGE },
        signal,
      );
      if (listed.status !== StoreStatus.Ok) return;
      const last = changeKey(through);
      const old = listed.objects.filter((object) => object.key <= last);
      if (old.length === 0) return;
      for (const object of old) {
        const result = await this.#store.delete(
          object.key,
          object.version,
          signal,
        );
        if (result.status !== StoreStatus.Ok) return;
        await sleep(this.#pauseMs, signal);
      }
    }
  }

  /** Ends the records of the oldest segment when its retention is over. */
  async #forgetOldPatches(
    head: StoredArchiveHead,
    signal: AbortSignal,
  ): Promise<number> {
    const segment = head.firstPatchSegment;
    if (segment >= head.segments) return segment;
    const changes = await this.#segments.read(segment, signal);
    const last = changes?.at(-1);
    if (!changes || !last) return segment;
    const age = this.#wallClock() - Date.parse(last.time);
    if (age < PATCH_ID_RETENTION_MS) return segment;
    for (const change of changes) {
      const forgotten = await forgetPatch(this.#store, change, signal);
      if (!forgotten) return segment;
      await sleep(this.#pauseMs, signal);
    }
    return segment + 1;
  }
}
