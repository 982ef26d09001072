/**
 * The crash records that all routers share. Each router sees few of the crashes
 * that one request or prompt part causes, and learns of the others here.
 */
import type { CrashRecord } from "../decide/crash_causes.ts";

/** Computes the records to store; undefined leaves the stored ones as they are. */
export type CrashLogChange = (
  stored: readonly CrashRecord[],
) => readonly CrashRecord[] | undefined;

/** A list of crash records that routers change by conditional writes. */
export interface CrashLog {
  /**
   * Applies `change` to the stored records and returns what is stored then;
   * undefined if the store could not be read or written. `change` may be called
   * more than once when other routers write at the same time.
   */
  update(change: CrashLogChange): Promise<readonly CrashRecord[] | undefined>;
}

/** A crash log of one router, for deployments without a shared store. */
export class LocalCrashLog implements CrashLog {
  #records: readonly CrashRecord[] = [];

  update(change: CrashLogChange): Promise<readonly CrashRecord[]> {
    this.#records = change(this.#records) ?? this.#records;
    return Promise.resolve(this.#records);
  }
}

/** Most records that are kept; the oldest ones are dropped. */
const MAX_RECORDS = 256;
/** Most records of one crash, since many requests may be lost with a server. */
const MAX_RECORDS_PER_CRASH = 16;
/** Most keys of one record; the key of the whole request is the first one. */
const MAX_KEYS_PER_RECORD = 16;

/** Adds records to others, without those that are there already. */
export function mergeCrashRecords(
  stored: readonly CrashRecord[],
  added: readonly CrashRecord[],
): readonly CrashRecord[] {
  const merged = new Map<string, CrashRecord>();
  const countOf = new Map<string, number>();
  for (const { engine, keys } of [...stored, ...added]) {
    const record = { engine, keys: keys.slice(0, MAX_KEYS_PER_RECORD) };
    const id = JSON.stringify(record);
    const count = countOf.get(engine) ?? 0;
    if (merged.has(id) || count >= MAX_RECORDS_PER_CRASH) continue;
    merged.set(id, record);
    countOf.set(engine, count + 1);
  }
  return [...merged.values()].slice(-MAX_RECORDS);
}

/** Removes keys that are not suspected any more, and records without any. */
export function removeKeys(
  records: readonly CrashRecord[],
  isRemoved: (key: string, record: CrashRecord) => boolean,
): readonly CrashRecord[] {
  return records
    .map((record) => ({
      engine: record.engine,
      keys: record.keys.filter((key) => !isRemoved(key, record)),
    }))
    .filter((record) => record.keys.length > 0);
}

/** True if both lists have the same engines and keys in the same order. */
export function areSameRecords(
  a: readonly CrashRecord[],
  b: readonly CrashRecord[],
): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
