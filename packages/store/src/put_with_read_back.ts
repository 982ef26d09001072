/**
 * Conditional writes that recover from a lost response. Reading the key back
 * tells whether the write took effect. If it did not, the same conditional
 * write is sent again; at most one of the copies can be applied, because they
 * all expect the same version.
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

/** Options of `putWithReadBack`. */
export interface PutWithReadBackOptions {
  /**
   * Returns whether a stored object contains this write. It must still return
   * true after later writes by others. Either the key is written only once, or
   * its value records earlier writers.
   */
  isOwnWrite(object: StoredObject): boolean;
  signal?: AbortSignal;
  /** Maximum number of attempts, the first included. @default 6 */
  attempts?: number;
  /** Initial delay between attempts, in milliseconds; it doubles. @default 50 */
  backoffMs?: number;
}

/** Reads the key back; returns undefined if the write has not taken effect. */
async function readBack(
  store: ObjectStore,
  key: string,
  expectedVersion: number,
  options: PutWithReadBackOptions,
): Promise<PutResult | undefined> {
  const readResult = await store.get(key, options.signal);
  if (readResult.status !== StoreStatus.Ok) return readResult;
  const { object } = readResult;
  if (object && options.isOwnWrite(object)) {
    return { status: StoreStatus.Ok, version: object.version };
  }
  if ((object?.version ?? ABSENT) === expectedVersion) return undefined;
  return { status: StoreStatus.Conflict, current: object };
}

function isFailure(result: PutResult): boolean {
  return result.status === StoreStatus.Unknown ||
    result.status === StoreStatus.Unavailable;
}

/** Turns a conflict with an earlier copy of the same write into a success. */
function acceptOwnConflict(
  result: PutResult,
  options: PutWithReadBackOptions,
): PutResult {
  if (result.status !== StoreStatus.Conflict || !result.current) return result;
  if (!options.isOwnWrite(result.current)) return result;
  return { status: StoreStatus.Ok, version: result.current.version };
}

/**
 * Writes `value` if the key's version equals `expectedVersion`, and determines
 * whether the write took effect. `Unavailable` means that nothing was written.
 * `Unknown` means that the response was lost and the result could not be
 * determined within the allowed attempts.
 */
export async function putWithReadBack(
  store: ObjectStore,
  key: string,
  value: unknown,
  expectedVersion: number,
  options: PutWithReadBackOptions,
): Promise<PutResult> {
  const attempts = options.attempts ?? RESOLVE_ATTEMPTS;
  let waitMs = options.backoffMs ?? RESOLVE_BACKOFF_MS;
  const firstResult = await store.put(
    key,
    value,
    expectedVersion,
    options.signal,
  );
  if (firstResult.status !== StoreStatus.Unknown) {
    return acceptOwnConflict(firstResult, options);
  }
  for (let attempt = 1; attempt < attempts; attempt++) {
    const readResult = await readBack(store, key, expectedVersion, options);
    if (readResult && !isFailure(readResult)) return readResult;
    if (!readResult) {
      const retryResult = await store.put(
        key,
        value,
        expectedVersion,
        options.signal,
      );
      if (!isFailure(retryResult)) {
        return acceptOwnConflict(retryResult, options);
      }
    }
    if (options.signal?.aborted) break;
    await sleep(waitMs, options.signal);
    waitMs *= 2;
  }
  return { status: StoreStatus.Unknown, message: firstResult.message };
}
