/** Reads the change log for the relay, and keeps snapshots and archive up. */
import {
  type ChangeLog,
  type ConfigReplica,
  LogReadStatus,
} from "@sassafrascleat/config";
import type { ChangeLogFollower } from "@sassafrascleat/membership";
import { type ObjectStore, StoreStatus } from "@sassafrascleat/store";

/** Prefix of the change log's keys in the store. */
const CHANGES_PREFIX = "changes/";

/** What a follower reads from and into. */
export interface LogFollowerOptions {
  store: ObjectStore;
  changeLog: ChangeLog;
  replica: ConfigReplica;
}

/** Creates the follower that a relay head polls. */
export function createLogFollower(
  options: LogFollowerOptions,
): ChangeLogFollower {
  return new LogFollower(options);
}

class LogFollower implements ChangeLogFollower {
  readonly #options: LogFollowerOptions;

  constructor(options: LogFollowerOptions) {
    this.#options = options;
  }

  async poll(waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { store, changeLog, replica } = this.#options;
    const before = replica.sequence;
    const read = await changeLog.catchUp(signal);
    if (read.status !== LogReadStatus.Ok) return false;
    await changeLog.maintain(signal);
    if (replica.sequence > before) return true;
    const watch = {
      prefix: CHANGES_PREFIX,
      afterRevision: read.revision,
      waitMs,
    };
    const seen = await store.watch(watch, signal);
    if (seen.status !== StoreStatus.Ok) return false;
    if (seen.events.length === 0) return true;
    const after = await changeLog.catchUp(signal);
    return after.status === LogReadStatus.Ok;
  }
}
