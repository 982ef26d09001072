/**
 * The archive head records how far the log is archived. A change key at or
 * below `through` is no longer part of the log, even if a daemon that was
 * paused creates it again. Readers and proposers therefore read the head after
 * they have read or written a change key.
 */
import { ABSENT, type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import { z } from "zod";
import { ARCHIVE_HEAD_KEY } from "./log_keys.ts";

const archiveHeadSchema = z.object({
  /** Last archived sequence. */
  through: z.number().int().min(0),
  /** Number of segments. */
  segments: z.number().int().min(0),
  /** First segment whose patch records have not been deleted. */
  firstPatchSegment: z.number().int().min(0),
});

/** The archive head. */
export type ArchiveHead = z.infer<typeof archiveHeadSchema>;

/** The archive head with its version in the store. */
export interface StoredArchiveHead extends ArchiveHead {
  version: number;
}

const EMPTY_HEAD: StoredArchiveHead = {
  through: 0,
  segments: 0,
  firstPatchSegment: 0,
  version: ABSENT,
};

/** Reads the archive head; undefined if it can't be read or is malformed. */
export async function readArchiveHead(
  store: ObjectStore,
  signal: AbortSignal,
): Promise<StoredArchiveHead | undefined> {
  const read = await store.get(ARCHIVE_HEAD_KEY, signal);
  if (read.status !== StoreStatus.Ok) return undefined;
  if (!read.object) return EMPTY_HEAD;
  const parsed = archiveHeadSchema.safeParse(read.object.value);
  if (!parsed.success) return undefined;
  return { ...parsed.data, version: read.object.version };
}

/** Writes the archive head if its version is still `expectedVersion`. */
export async function writeArchiveHead(
  store: ObjectStore,
  head: ArchiveHead,
  expectedVersion: number,
  signal: AbortSignal,
): Promise<boolean> {
  const result = await store.put(
    ARCHIVE_HEAD_KEY,
    head,
    expectedVersion,
    signal,
  );
  return result.status === StoreStatus.Ok;
}
