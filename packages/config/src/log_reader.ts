/**
 * Brings a replica up to date from the newest snapshot and the changes after
 * it.
 */
import { createLogger } from "@sassafrascleat/runtime";
import {
  type ObjectStore,
  type StoredObject,
  StoreStatus,
  type WatchEvent,
} from "@sassafrascleat/store";
import { readArchiveHead } from "./archive_head.ts";
import { type Change, changeSchema } from "./change.ts";
import {
  type CatchUpResult,
  LogReadStatus,
  type LogUnavailable,
} from "./change_log_contract.ts";
import { LIST_PAGE_SIZE } from "./constants.ts";
import { changeKey, CHANGES_PREFIX } from "./log_keys.ts";
import { ApplyResult, type ConfigReplica } from "./replica_contract.ts";
import type { SnapshotStore } from "./snapshot_store.ts";

const log = createLogger("config");

function unavailable(message: string): LogUnavailable {
  return { status: LogReadStatus.Unavailable, message };
}

/**
 * Parses a stored change; undefined if it is malformed or under the wrong key.
 */
export function parseChange(object: StoredObject): Change | undefined {
  const parsed = changeSchema.safeParse(object.value);
  if (!parsed.success) return undefined;
  return changeKey(parsed.data.sequence) === object.key
    ? parsed.data
    : undefined;
}

/** Applies changes from the log to one replica. */
export class LogReader {
  readonly #store: ObjectStore;
  readonly #replica: ConfigReplica;
  readonly #snapshots: SnapshotStore;

  constructor(
    store: ObjectStore,
    replica: ConfigReplica,
    snapshots: SnapshotStore,
  ) {
    this.#store = store;
    this.#replica = replica;
    this.#snapshots = snapshots;
  }

  /** Applies all changes in the log after the replica's current sequence. */
  async catchUp(signal: AbortSignal): Promise<CatchUpResult> {
    if (this.#replica.sequence === 0) {
      const failed = await this.#installSnapshot(signal);
      if (failed) return failed;
    }
    while (true) {
      const after = changeKey(this.#replica.sequence);
      const listed = await this.#store.list(
        { prefix: CHANGES_PREFIX, after, limit: LIST_PAGE_SIZE },
        signal,
      );
      if (listed.status !== StoreStatus.Ok) return unavailable(listed.message);
      const failed = await this.#applyAll(listed.objects, signal);
      if (failed) return failed;
      if (listed.objects.length < LIST_PAGE_SIZE) {
        const { sequence } = this.#replica;
        const { revision } = listed;
        return { status: LogReadStatus.Ok, sequence, revision };
      }
    }
  }

  /** Applies the events of a watch; false if a catch-up is needed. */
  async applyEvents(
    events: readonly WatchEvent[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const objects = events
      .map((event) => event.object)
      .filter((object) => object !== undefined)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    if (objects.length === 0) return true;
    return !(await this.#applyAll(objects, signal));
  }

  /**
   * Applies changes in key order. The archive head is read after the change
   * keys, because keys at or below it are no longer part of the log.
   */
  async #applyAll(
    objects: readonly StoredObject[],
    signal: AbortSignal,
  ): Promise<LogUnavailable | undefined> {
    const head = await readArchiveHead(this.#store, signal);
    if (!head) return unavailable("the head of the archive can't be read");
    if (this.#replica.sequence < head.through) {
      const failed = await this.#installSnapshot(signal);
      if (failed) return failed;
      if (this.#replica.sequence < head.through) {
        return unavailable("the newest snapshot is older than the archive");
      }
    }
    for (const object of objects) {
      if (object.key <= changeKey(this.#replica.sequence)) continue;
      const failed = this.#apply(object);
      if (failed) return failed;
    }
    return undefined;
  }

  #apply(object: StoredObject): LogUnavailable | undefined {
    const change = parseChange(object);
    const result = change ? this.#replica.apply(change) : ApplyResult.Invalid;
    if (
      result === ApplyResult.Applied || result === ApplyResult.AlreadyApplied
    ) {
      return undefined;
    }
    log("log_unreadable", { key: object.key, result });
    return unavailable(
      `the change log can't be read past sequence ${this.#replica.sequence}: ` +
        `${object.key} is ${result}; inspect this key in the store`,
    );
  }

  async #installSnapshot(
    signal: AbortSignal,
  ): Promise<LogUnavailable | undefined> {
    const read = await this.#snapshots.read(signal);
    if (read.status !== StoreStatus.Ok) return unavailable(read.message);
    if (read.snapshot) this.#replica.installSnapshot(read.snapshot);
    return undefined;
  }
}
