/** The store's change log as a relay reads it into the replica. */
import {
  type ChangeLog,
  CHANGES_PREFIX,
  LogReadStatus,
} from "@sassafrascleat/config";
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";

/** Reads the change log into the replica of this daemon. */
export interface ChangeLogFollower {
  /**
   * Applies what the store has beyond the replica; with nothing new it waits
   * up to `waitMs` for a change. True when the store answered, and so the
   * replica agrees with it.
   */
  poll(waitMs: number, signal: AbortSignal): Promise<boolean>;
  /** Upkeep of the log by a head, after changes; never overlaps. */
  maintain?(signal: AbortSignal): Promise<void>;
}

/** What a follower of a store's log works on. */
export interface StoreFollowerOptions {
  store: ObjectStore;
  /** The log over the same store, which feeds the replica. */
  changeLog: Pick<ChangeLog, "catchUp" | "maintain">;
}

/** Creates a follower that watches `store` and reads through `changeLog`. */
export function createChangeLogFollower(
  options: StoreFollowerOptions,
): ChangeLogFollower {
  return new StoreFollower(options);
}

class StoreFollower implements ChangeLogFollower {
  readonly #store: ObjectStore;
  readonly #log: Pick<ChangeLog, "catchUp" | "maintain">;
  #revision: number | undefined;

  constructor(options: StoreFollowerOptions) {
    this.#store = options.store;
    this.#log = options.changeLog;
  }

  async poll(waitMs: number, signal: AbortSignal): Promise<boolean> {
    if (waitMs === 0 || this.#revision === undefined) {
      return await this.#catchUp(signal);
    }
    const afterRevision = this.#revision;
    const watch = { prefix: CHANGES_PREFIX, afterRevision, waitMs };
    const result = await this.#store.watch(watch, signal);
    if (result.status !== StoreStatus.Ok) {
      this.#revision = undefined;
      return false;
    }
    // A compaction deletes change keys by the hundred; there is nothing to read.
    const news = result.events.some(({ object }) => object !== undefined);
    if (news) return await this.#catchUp(signal);
    this.#revision = result.revision;
    return true;
  }

  maintain(signal: AbortSignal): Promise<void> {
    return this.#log.maintain(signal);
  }

  async #catchUp(signal: AbortSignal): Promise<boolean> {
    const result = await this.#log.catchUp(signal);
    const read = result.status === LogReadStatus.Ok;
    this.#revision = read ? result.revision : undefined;
    return read;
  }
}
