/** Reads the store's change log into the replica of a relay. */
import {
  type ChangeLog,
  CHANGES_PREFIX,
  LogReadStatus,
} from "@sassafrascleat/config";
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";

/** Reads the change log into this daemon's replica. */
export interface ChangeLogFollower {
  /**
   * Applies changes in the store that are newer than the replica; if there are
   * none, waits up to `waitMs` for one. True if the store answered, so that the
   * replica is known to match it.
   */
  poll(waitMs: number, signal: AbortSignal): Promise<boolean>;
  /** Maintains the log; called by a head after a successful poll, one call at a time. */
  maintain?(signal: AbortSignal): Promise<void>;
}

/** Options of a follower of a store's change log. */
export interface ChangeLogFollowerOptions {
  store: ObjectStore;
  /** The change log in the same store; writes into the replica. */
  changeLog: Pick<ChangeLog, "catchUp" | "maintain">;
}

/** Creates a follower that watches `store` and reads through `changeLog`. */
export function createChangeLogFollower(
  options: ChangeLogFollowerOptions,
): ChangeLogFollower {
  return new StoreFollower(options);
}

class StoreFollower implements ChangeLogFollower {
  readonly #store: ObjectStore;
  readonly #changeLog: Pick<ChangeLog, "catchUp" | "maintain">;
  #revision: number | undefined;

  constructor(options: ChangeLogFollowerOptions) {
    this.#store = options.store;
    this.#changeLog = options.changeLog;
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
    // A compaction deletes change keys by the hundred. Deletions need no read.
    const hasNewChanges = result.events.some(({ object }) =>
      object !== undefined
    );
    if (hasNewChanges) return await this.#catchUp(signal);
    this.#revision = result.revision;
    return true;
  }

  maintain(signal: AbortSignal): Promise<void> {
    return this.#changeLog.maintain(signal);
  }

  async #catchUp(signal: AbortSignal): Promise<boolean> {
    const result = await this.#changeLog.catchUp(signal);
    const read = result.status === LogReadStatus.Ok;
    this.#revision = read ? result.revision : undefined;
    return read;
  }
}
