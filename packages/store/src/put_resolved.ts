/**
 * Writes whose answer was lost. Reading the key back tells whether the write
 * took effect; when it has not, the same conditional write is sent again, so
 * that a first one which is still on its way can do no harm.
 */
import { sleep } from "@sassafrascleat/runtime";
import { RESOLVE_ATTEMPTS, RESOLVE_BACKOFF_MS } from "./constants.ts";
import {
  ABSENT,
  type ObjectStore,
  type PutResult,
  type StoredObject,
  StoreStatus,
} from "./object_store.ts";

/** How to tell and how long to try. */
export interface PutResolvedOptions {
  /**
   * Tells whether a stored value comes from this write. It has to hold also
   * after later writes of others: either the key is written once, or its value
   * keeps a trace of earlier writers.
   */
  isMine(object: StoredObject): boolean;
  signal?: AbortSignal;
  /** Most tries, the first included. @default 6 */
  attempts?: number;
  /** First wait between two tries, in milliseconds; it doubles. @default 50 */
  backoffMs?: number;
}

/** What a read back told; undefined when the write has to be sent again. */
async function readBack(
  store: ObjectStore,
  key: string,
  expectedVersion: number,
  options: PutResolvedOptions,
): Promise<PutResult | undefined> {
  const read = await store.get(key, options.signal);
  if (read.status !== StoreStatus.Ok) return read;
  const { object } = read;
  if (object && options.isMine(object)) {
    return { status: StoreStatus.Ok, version: object.version };
  }
  if ((object?.version ?? ABSENT) === expectedVersion) return undefined;
  return { status: StoreStatus.Conflict, current: object };
}

function isFailure(result: PutResult): boolean {
  return result.status === StoreStatus.Unknown ||
    result.status === StoreStatus.Unavailable;
}

/** Takes a conflict with the caller's own earlier write as success. */
function settle(result: PutResult, options: PutResolvedOptions): PutResult {
  if (result.status !== StoreStatus.Conflict || !result.current) return result;
  if (!options.isMine(result.current)) return result;
  return { status: StoreStatus.Ok, version: result.current.version };
}

/**
 * Writes `value` when the key's version equals `expectedVersion` and finds out
 * what became of it. `Unavailable`: nothing was written. `Unknown`: the answer
 * was lost and the store could not be read within the attempts.
 */
export async function putResolved(
  store: ObjectStore,
  key: string,
  value: unknown,
  expectedVersion: number,
  options: PutResolvedOptions,
): Promise<PutResult> {
  const attempts = options.attempts ?? RESOLVE_ATTEMPTS;
  let waitMs = options.backoffMs ?? RESOLVE_BACKOFF_MS;
  const first = await store.put(key, value, expectedVersion, options.signal);
  if (first.status !== StoreStatus.Unknown) return settle(first, options);
  for (let attempt = 1; attempt < attempts; attempt++) {
    const read = await readBack(store, key, expectedVersion, options);
    if (read && !isFailure(read)) return read;
    if (!read) {
      const again = await store.put(
        key,
        value,
        expectedVersion,
        options.signal,
      );
      if (!isFailure(again)) return settle(again, options);
    }
    if (options.signal?.aborted) break;
    await sleep(waitMs, options.signal);
    waitMs *= 2;
  }
  return { status: StoreStatus.Unknown, message: first.message };
}
