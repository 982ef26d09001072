/** The log of one router, for deployments without a shared store. */
import { LRUCache } from "lru-cache";
import {
  type DefaultVersions,
  type RecordedVersion,
  RecordLookup,
  type VersionLog,
} from "./version_log.ts";

/** Most records that are kept; the least recently used ones are dropped. */
const MAX_RECORDS = 65_536;

/** A version log in memory. It is always complete. */
export class LocalVersionLog implements VersionLog {
  readonly #records = new LRUCache<string, string>({ max: MAX_RECORDS });
  readonly #defaults = new Map<string, string>();
  readonly #listener: (defaults: DefaultVersions) => void;

  /** Calls `listener` with the default versions when they change. */
  constructor(listener: (defaults: DefaultVersions) => void) {
    this.#listener = listener;
  }

  record(streamId: string, version: string): Promise<boolean> {
    this.#records.set(streamId, version);
    return Promise.resolve(true);
  }

  find(streamId: string): Promise<RecordedVersion> {
    const version = this.#records.get(streamId);
    return Promise.resolve(
      version === undefined
        ? { end: RecordLookup.Absent }
        : { end: RecordLookup.Found, version },
    );
  }

  remove(streamId: string): void {
    this.#records.delete(streamId);
  }

  setDefault(
    service: string,
    version: string,
    before: string | undefined,
  ): Promise<void> {
    if (this.#defaults.get(service) === before) {
      this.#defaults.set(service, version);
      this.#notify();
    }
    return Promise.resolve();
  }

  markComplete(): Promise<void> {
    this.#notify();
    return Promise.resolve();
  }

  /** The default versions as they are now. */
  get defaults(): DefaultVersions {
    return { versions: new Map(this.#defaults), complete: true };
  }

  #notify(): void {
    this.#listener(this.defaults);
  }
}
