/**
 * The versions of single streams: those that this router has seen itself, and
 * the records in the shared log. Calls to the log have a time limit, since a
 * caller waits for them. Records are deleted when their stream has ended, and
 * those of interrupted streams when they can't be resumed any more.
 */
import {
  type Clock,
  deadlineSignal,
  errorMessage,
  type Logger,
} from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";
import { STREAM_MAP_LIMITS } from "./recent_streams.ts";
import {
  type RecordedVersion,
  RecordLookup,
  type VersionLog,
} from "./version_log.ts";

/** Options of {@link VersionRecords}. */
export interface VersionRecordsOptions {
  clock: Clock;
  log: Logger;
  versionLog: () => VersionLog;
  /** How long a stream can be resumed, in milliseconds. */
  retainMs: number;
}

/** Longest call to the log, in milliseconds. */
const MAX_CALL_MS = 700;
/** Failed writes in a row after which the log counts as failing. */
const MIN_FAILURES = 2;
/** How long the log counts as failing after a failed write, in milliseconds. */
const FAILURE_TTL_MS = 1_000;

/** Reads and writes the versions of streams. */
export class VersionRecords {
  readonly #options: VersionRecordsOptions;
  /** Versions of streams that this router forwarded events of. */
  readonly #seen = new LRUCache<string, string>(STREAM_MAP_LIMITS);
  /** Deletions of records of interrupted streams. */
  readonly #deletions = new Map<string, ReturnType<typeof setTimeout>>();
  /** Failed writes since the last successful one. */
  #failures = 0;
  #lastFailureMs = -Infinity;

  constructor(options: VersionRecordsOptions) {
    this.#options = options;
  }

  /** Whether writes have just failed. */
  get failing(): boolean {
    return this.#failures >= MIN_FAILURES &&
      this.#options.clock.now() - this.#lastFailureMs < FAILURE_TTL_MS;
  }

  /** Remembers the version of a stream that this router forwards events of. */
  remember(streamId: string, version: string): void {
    this.#seen.set(streamId, version);
  }

  /** The version of a stream that this router has forwarded events of. */
  remembered(streamId: string): string | undefined {
    return this.#seen.get(streamId);
  }

  /** Looks up the record of a stream. */
  async find(streamId: string, signal: AbortSignal): Promise<RecordedVersion> {
    const { log, versionLog } = this.#options;
    try {
      const limited = deadlineSignal(MAX_CALL_MS, signal);
      return await versionLog().find(streamId, limited);
    } catch (err) {
      log("stream_version_not_read", { message: errorMessage(err) });
      return { end: RecordLookup.Unknown };
    }
  }

  /** Records the version of a stream; false if it may not be stored. */
  async record(
    streamId: string,
    version: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const stored = await this.#write(streamId, version, signal);
    if (stored) {
      this.#failures = 0;
      return true;
    }
    if (signal.aborted) return false;
    this.#failures += 1;
    this.#lastFailureMs = this.#options.clock.now();
    this.#options.log("stream_version_not_recorded", {
      stream: streamId,
      version,
    });
    return false;
  }

  async #write(
    streamId: string,
    version: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { log, versionLog } = this.#options;
    try {
      const limited = deadlineSignal(MAX_CALL_MS, signal);
      return await versionLog().record(streamId, version, limited);
    } catch (err) {
      log("version_log_failed", { message: errorMessage(err) });
      return false;
    }
  }

  /** Whether a record of the stream is going to be deleted. */
  isRemovalPending(streamId: string): boolean {
    return this.#deletions.has(streamId);
  }

  /** Deletes the record of a stream that has ended. */
  remove(streamId: string): void {
    clearTimeout(this.#deletions.get(streamId));
    this.#deletions.delete(streamId);
    this.#options.versionLog().remove(streamId);
  }

  /** Deletes the record of a stream when it can't be resumed any more. */
  removeLater(streamId: string): void {
    if (this.#deletions.has(streamId)) return;
    const { retainMs } = this.#options;
    const timer = setTimeout(() => this.remove(streamId), retainMs);
    timer.unref();
    this.#deletions.set(streamId, timer);
  }
}
