/**
 * In-memory implementation of the object API, for tests and for the `dev` role.
 * The version of a written object is the new revision of the whole store, so
 * that the versions of a key keep increasing when it is deleted and recreated.
 */
import { LIST_LIMIT, MAX_WATCH_MS } from "./constants.ts";
import {
  ABSENT,
  type GetResult,
  type ListOptions,
  type ListResult,
  MAX_VALUE_BYTES,
  type ObjectStore,
  type PutResult,
  type StoredObject,
  StoreStatus,
  type WatchEvent,
  type WatchOptions,
  type WatchResult,
} from "./object_store.ts";
import { SortedKeys } from "./sorted_keys.ts";

/** Options of an in-memory store. */
export interface MemoryStoreOptions {
  /** Maximum size of a value, in bytes of JSON. @default 1000000 */
  maxValueBytes?: number;
}

/** A stored value, kept as JSON text so that callers never share an object. */
interface Entry {
  version: number;
  json: string;
}

/** A write or deletion; the journal holds them in order of revision. */
interface JournalEntry {
  revision: number;
  key: string;
}

/**
 * An `ObjectStore` in this process. It never returns `Unavailable`, and returns
 * `Unknown` only for an aborted watch.
 */
export class MemoryStore implements ObjectStore {
  readonly #maxValueBytes: number;
  readonly #entries = new Map<string, Entry>();
  readonly #latestRevisions = new Map<string, number>();
  readonly #keys = new SortedKeys();
  readonly #waiters = new Set<() => void>();
  #journal: JournalEntry[] = [];
  #revision = 0;

  constructor(options: MemoryStoreOptions = {}) {
    this.#maxValueBytes = options.maxValueBytes ?? MAX_VALUE_BYTES;
  }

  async get(key: string): Promise<GetResult> {
    return { status: StoreStatus.Ok, object: this.#read(key) };
  }

  async put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<PutResult> {
    const json = JSON.stringify(value);
    const bytes = Buffer.byteLength(json);
    if (bytes > this.#maxValueBytes) {
      const message =
        `value of ${key} has ${bytes} bytes; the limit is ${this.#maxValueBytes}`;
      return { status: StoreStatus.TooLarge, message };
    }
    if (!this.#hasVersion(key, expectedVersion)) {
      return this.#conflictResult(key);
    }
    const version = this.#recordChange(key);
    this.#entries.set(key, { version, json });
    this.#keys.add(key);
    this.#notifyWaiters();
    return { status: StoreStatus.Ok, version };
  }

  async delete(key: string, expectedVersion: number): Promise<PutResult> {
    if (!this.#hasVersion(key, expectedVersion)) {
      return this.#conflictResult(key);
    }
    if (!this.#entries.has(key)) {
      return { status: StoreStatus.Ok, version: ABSENT };
    }
    const version = this.#recordChange(key);
    this.#entries.delete(key);
    this.#keys.remove(key);
    this.#notifyWaiters();
    return { status: StoreStatus.Ok, version };
  }

  async list(options: ListOptions): Promise<ListResult> {
    const limit = options.limit ?? LIST_LIMIT;
    const keys = this.#keys.range(options.prefix, options.after ?? "", limit);
    const objects = keys.map((key) => this.#read(key)!);
    return { status: StoreStatus.Ok, objects, revision: this.#revision };
  }

  async watch(
    options: WatchOptions,
    signal?: AbortSignal,
  ): Promise<WatchResult> {
    const deadline = performance.now() +
      Math.min(options.waitMs, MAX_WATCH_MS);
    while (true) {
      const events = this.#eventsAfter(options.prefix, options.afterRevision);
      const remainingMs = deadline - performance.now();
      if (events.length > 0 || remainingMs <= 0) {
        return { status: StoreStatus.Ok, events, revision: this.#revision };
      }
      await this.#waitForWrite(remainingMs, signal);
      if (signal?.aborted) {
        return { status: StoreStatus.Unknown, message: "the call was aborted" };
      }
    }
  }

  #read(key: string): StoredObject | undefined {
    const entry = this.#entries.get(key);
    if (!entry) return undefined;
    return { key, version: entry.version, value: JSON.parse(entry.json) };
  }

  #hasVersion(key: string, expectedVersion: number): boolean {
    return (this.#entries.get(key)?.version ?? ABSENT) === expectedVersion;
  }

  #conflictResult(key: string): PutResult {
    return { status: StoreStatus.Conflict, current: this.#read(key) };
  }

  /**
   * Records a write or deletion of `key` and returns its revision. Compacts the
   * journal to the latest change of each key when it has grown too long.
   */
  #recordChange(key: string): number {
    this.#revision += 1;
    this.#journal.push({ revision: this.#revision, key });
    this.#latestRevisions.set(key, this.#revision);
    if (this.#journal.length > 2 * this.#latestRevisions.size + 64) {
      this.#journal = this.#journal.filter((entry) => this.#isLatest(entry));
    }
    return this.#revision;
  }

  #isLatest(entry: JournalEntry): boolean {
    return this.#latestRevisions.get(entry.key) === entry.revision;
  }

  /** Current state of each key with `prefix` that changed after `afterRevision`. */
  #eventsAfter(prefix: string, afterRevision: number): WatchEvent[] {
    const events: WatchEvent[] = [];
    for (let i = this.#journal.length - 1; i >= 0; i--) {
      const entry = this.#journal[i]!;
      if (entry.revision <= afterRevision) break;
      if (!entry.key.startsWith(prefix) || !this.#isLatest(entry)) continue;
      events.push({ key: entry.key, object: this.#read(entry.key) });
    }
    return events.reverse();
  }

  #notifyWaiters(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }

  #waitForWrite(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        signal?.removeEventListener("abort", done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
      signal?.addEventListener("abort", done, { once: true });
      if (signal?.aborted) done();
    });
  }
}

/** Creates an empty in-memory store. */
export function createMemoryStore(options?: MemoryStoreOptions): MemoryStore {
  return new MemoryStore(options);
}
