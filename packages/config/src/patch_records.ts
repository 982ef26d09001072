/**
 * Finds accepted patches by id. A replica holds the newest ids in memory, and
 * the store has a record of each archived change's id for
 * `PATCH_ID_RETENTION_MS`. The changes in between are still in the tail of the
 * log.
 */
import { ABSENT, type ObjectStore, StoreStatus } from "@sassafrascleat/store";
import { z } from "zod";
import { readArchiveHead } from "./archive_head.ts";
import type { Change } from "./change.ts";
import { LogReadStatus, type LogUnavailable } from "./change_log_contract.ts";
import { patchKey } from "./log_keys.ts";
import { patchDigest } from "./patch_digest.ts";
import { readTail } from "./log_tail.ts";
import type { AcceptedPatch, MemoryReplica } from "./replica.ts";

const patchRecordSchema = z.object({
  sequence: z.number().int().min(1),
  version: z.number().int(),
  digest: z.string().optional(),
});

/** Result of a search; `accepted` is undefined if no such patch was found. */
export type PatchSearch =
  | { status: LogReadStatus.Ok; accepted: AcceptedPatch | undefined }
  | LogUnavailable;

const UNREADABLE: LogUnavailable = {
  status: LogReadStatus.Unavailable,
  message: "the records of accepted patches can't be read",
};

function searchResult(accepted: AcceptedPatch | undefined): PatchSearch {
  return { status: LogReadStatus.Ok, accepted };
}

/** Records the patch id of an archived change; false if the write failed. */
export async function writePatchRecord(
  store: ObjectStore,
  change: Change,
  signal: AbortSignal,
): Promise<boolean> {
  const { sequence, version = 0 } = change;
  const key = patchKey(change.patchId);
  const record = { sequence, version, digest: patchDigest(change) };
  const result = await store.put(key, record, ABSENT, signal);
  return result.status === StoreStatus.Ok ||
    result.status === StoreStatus.Conflict;
}

/** Deletes the record of a patch id; false if the store call failed. */
export async function deletePatchRecord(
  store: ObjectStore,
  change: Change,
  signal: AbortSignal,
): Promise<boolean> {
  const key = patchKey(change.patchId);
  const read = await store.get(key, signal);
  if (read.status !== StoreStatus.Ok) return false;
  if (!read.object) return true;
  const result = await store.delete(key, read.object.version, signal);
  return result.status === StoreStatus.Ok;
}

/** Finds an accepted patch by id. The replica must be up to date. */
export async function findPatch(
  store: ObjectStore,
  replica: MemoryReplica,
  patchId: string,
  signal: AbortSignal,
): Promise<PatchSearch> {
  const inMemory = replica.acceptedPatch(patchId);
  if (inMemory) return searchResult(inMemory);
  const completeAfter = replica.patchIdsCompleteAfter;
  if (completeAfter === 0) return searchResult(undefined);
  const head = await readArchiveHead(store, signal);
  if (!head) return UNREADABLE;
  const read = await store.get(patchKey(patchId), signal);
  if (read.status !== StoreStatus.Ok) return UNREADABLE;
  if (read.object) {
    const parsed = patchRecordSchema.safeParse(read.object.value);
    return parsed.success ? searchResult(parsed.data) : UNREADABLE;
  }
  if (head.through >= completeAfter) return searchResult(undefined);
  const tail = await readTail(store, signal);
  if (tail.status !== LogReadStatus.Ok) return tail;
  if (tail.through > head.through) return UNREADABLE;
  const change = tail.changes.find((item) => item.patchId === patchId);
  if (!change) return searchResult(undefined);
  const { sequence, version = 0 } = change;
  return searchResult({ sequence, version, digest: patchDigest(change) });
}
