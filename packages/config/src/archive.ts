/**
 * Moves old changes from their individual keys into archive segments. The order
 * of the steps keeps every audit entry readable at all times: the segment is
 * written and read back, the patch ids are recorded, the archive head is
 * advanced, and only then the change keys are deleted. Another daemon may
 * repeat any step.
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
  LIST_PAGE_SIZE,
  PATCH_ID_RETENTION_MS,
} from "./constants.ts";
import { changeKey, CHANGES_PREFIX } from "./log_keys.ts";
import { parseChange } from "./log_reader.ts";
import { deletePatchRecord, writePatchRecord } from "./patch_records.ts";
import type { LogSizes } from "./log_sizes.ts";
import type { SegmentStore } from "./segments.ts";

const log = createLogger("config");

/** Options of an archiver. */
export interface ArchiverOptions {
  store: ObjectStore;
  segments: SegmentStore;
  sizes: LogSizes;
  /** Returns milliseconds since 1970, for the retention of patch ids. */
  wallClock: () => number;
  /** Pause between two writes, in milliseconds. @default 10 */
  pauseMs?: number;
}

/** Archives the log in one store. */
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
   * Archives complete segments that end at least `minUnarchivedChanges` changes
   * before `sequence`, the sequence of the newest snapshot.
   */
  async run(sequence: number, signal: AbortSignal): Promise<void> {
    const { minUnarchivedChanges, changesPerSegment } = this.#sizes;
    const limit = sequence - minUnarchivedChanges;
    while (!signal.aborted) {
      const head = await readArchiveHead(this.#store, signal);
      if (!head) return;
      await this.#deleteArchived(head.through, signal);
      if (head.through + changesPerSegment > limit) return;
      const archived = await this.#archiveNextSegment(head, signal);
      if (!archived) return;
    }
  }

  async #archiveNextSegment(
    head: StoredArchiveHead,
    signal: AbortSignal,
  ): Promise<boolean> {
    const segment = head.segments;
    const changes = await this.#readChanges(head.through);
    if (!this.#segments.isComplete(segment, changes)) return false;
    const written = await this.#segments.write(segment, changes, signal);
    if (!written) return false;
    const recorded = await this.#writePatchRecords(changes, signal);
    if (!recorded) return false;
    const next = {
      through: head.through + this.#sizes.changesPerSegment,
      segments: segment + 1,
      firstPatchSegment: await this.#deleteExpiredPatchRecords(head, signal),
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

  async #writePatchRecords(
    changes: readonly Change[],
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const change of changes) {
      const recorded = await writePatchRecord(this.#store, change, signal);
      if (!recorded) return false;
      await sleep(this.#pauseMs, signal);
    }
    return true;
  }

  async #readChanges(through: number): Promise<Change[]> {
    const listed = await this.#store.list({
      prefix: CHANGES_PREFIX,
      after: changeKey(through),
      limit: this.#sizes.changesPerSegment,
    });
    if (listed.status !== StoreStatus.Ok) return [];
    return listed.objects.map(parseChange).filter((item) => item !== undefined);
  }

  /**
   * Deletes all change keys at or below `through`, including leftovers of
   * earlier runs.
   */
  async #deleteArchived(through: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const listed = await this.#store.list(
        { prefix: CHANGES_PREFIX, limit: LIST_PAGE_SIZE },
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

  /**
   * Deletes the patch records of the oldest segment that still has them, once
   * their retention is over. Returns the first segment whose records remain.
   */
  async #deleteExpiredPatchRecords(
    head: StoredArchiveHead,
    signal: AbortSignal,
  ): Promise<number> {
    const segment = head.firstPatchSegment;
    if (segment >= head.segments) return segment;
    const changes = await this.#segments.read(segment, signal);
    const last = changes?.at(-1);
    if (!changes || !last) return segment;
    const elapsedMs = this.#wallClock() - Date.parse(last.time);
    if (elapsedMs < PATCH_ID_RETENTION_MS) return segment;
    for (const change of changes) {
      const recordDeleted = await deletePatchRecord(
        this.#store,
        change,
        signal,
      );
      if (!recordDeleted) return segment;
      await sleep(this.#pauseMs, signal);
    }
    return segment + 1;
  }
}
