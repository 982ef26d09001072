/**
 * Keeps requests away from the backend servers that they would crash. A request,
 * or a part of its prompt, may trigger a fault that crashes each server which
 * begins to run it, together with all other requests there. Routers share what
 * they see of such crashes, and reject requests that caused them, or that have
 * the parts that did, until the quarantine ends; it lasts longer with each crash.
 */
import {
  type Clock,
  errorMessage,
  type Logger,
  sleep,
} from "@sassafrascleat/runtime";
import type { Random } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";
import {
  type CrashCause,
  type CrashRecord,
  findCrashCauses,
  isHarmful,
} from "../decide/crash_causes.ts";
import {
  areSameRecords,
  type CrashLog,
  mergeCrashRecords,
  removeKeys,
} from "./crash_log.ts";
import type { RequestKeys } from "./request_keys.ts";
import { SoundKeys } from "./sound_keys.ts";
import { Trials } from "./trials.ts";

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  clock: Clock;
  log: Logger;
  random: Random;
  /** Returns the log that is shared with other routers. */
  crashLog: () => CrashLog;
}

/** Quarantine after two crashes; each further crash doubles it. In ms. */
const BASE_QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 3_600_000;
/** Records are forgotten after this time, in milliseconds. */
const RECORD_TTL_MS = 2 * MAX_QUARANTINE_MS;
/** Most crashed engines that are remembered. */
const MAX_ENGINES = 4_096;
/**
 * Many routers may know what the shared log lacks, or that a suspected part is
 * harmless. They wait for a random time up to this one, so that the first one
 * spares the others the write; in milliseconds.
 */
const PUBLISH_SPREAD_MS = 800;
/** Pause before a failed write is repeated, in milliseconds. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;

/** Knows which requests crash backend servers. */
export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #sound: SoundKeys;
  readonly #trials = new Trials();
  /** The shared records, as this router last saw them. */
  #shared: readonly CrashRecord[] = [];
  /** Records that are not in the shared log yet. */
  #unpublished: readonly CrashRecord[] = [];
  /**
   * When each crash became known here, in clock milliseconds, by engine. Kept
   * after the record is removed, in case a restored log brings it back.
   */
  readonly #knownSinceMs = new LRUCache<string, number>({ max: MAX_ENGINES });
  #causes: CrashCause[] = [];
  /** Keys in any record. */
  #suspected: ReadonlySet<string> = new Set();
  #publishing = false;
  #changed = false;
  #clearing = false;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    this.#sound = new SoundKeys(options.clock);
  }

  /** How long the request is rejected, in milliseconds; 0 if it is not. */
  remainingMs(keys: RequestKeys): number {
    if (this.#causes.length === 0) return 0;
    const all = new Set(keys.all);
    const nowMs = this.#options.clock.now();
    const causes = this.#causes.filter((cause) =>
      isHarmful(all, cause) && this.#quarantineEndMs(cause) > nowMs
    );
    if (causes.length === 0) {
      this.#trials.recordAdmitted(keys);
      return 0;
    }
    if (this.#trials.isTrial(keys, causes)) return 0;
    const ends = causes.map((cause) => this.#quarantineEndMs(cause));
    return Math.max(...ends) - nowMs;
  }

  /** Records that a backend server ran the request. */
  recordRun(keys: RequestKeys): void {
    for (const key of keys.all) this.#sound.recordRun(key);
    if (keys.all.some((key) => this.#suspected.has(key))) this.#clearLater();
  }

  /** Records that a backend server crashed before it had run the request. */
  recordCrash(engine: string, keys: RequestKeys): void {
    this.#trials.recordCrash(keys);
    const suspected = keys.all.filter((key) => this.#sound.recordCrash(key));
    this.#options.log("crash_with_request", {
      engine,
      suspected: suspected.join(","),
      keys: keys.all.length,
    });
    if (suspected.length === 0) return;
    const record = { engine, keys: suspected };
    this.#unpublished = mergeCrashRecords(this.#unpublished, [record]);
    this.#update();
    this.#startPublishing();
  }

  /**
   * Notes that the shared log may have lost records or brought back old ones.
   * What this router knows of them stays in force, and is written again.
   */
  handleLogRestored(): void {
    this.#unpublished = this.#records;
    if (this.#unpublished.length > 0) this.#publishLater();
  }

  /** Applies the records of all routers. */
  observe(records: readonly CrashRecord[]): void {
    this.#shared = records;
    this.#update();
    this.#clearLater();
  }

  get #records(): readonly CrashRecord[] {
    return mergeCrashRecords(this.#shared, this.#unpublished);
  }

  #update(): void {
    const nowMs = this.#options.clock.now();
    const records = this.#records;
    this.#suspected = new Set(records.flatMap((item) => item.keys));
    for (const { engine } of records) {
      if (!this.#knownSinceMs.has(engine)) {
        this.#knownSinceMs.set(engine, nowMs);
      }
    }
    this.#setCauses(findCrashCauses(removeKeys(records, this.#isCleared)));
  }

  #setCauses(causes: CrashCause[]): void {
    const before = JSON.stringify(this.#causes);
    this.#causes = causes;
    if (JSON.stringify(causes) === before) return;
    this.#options.log("requests_quarantined", {
      causes: causes.map(({ combinations }) =>
        combinations.map((keys) => keys.join("+")).join("|")
      ).join(" "),
      crashes: causes.map(({ engines }) => engines.length).join(" "),
    });
  }

  #quarantineEndMs({ engines }: CrashCause): number {
    const lastMs = Math.max(
      ...engines.map((engine) => this.#knownSinceMs.get(engine) ?? 0),
    );
    const durationMs = BASE_QUARANTINE_MS * 2 ** (engines.length - 2);
    return lastMs + Math.min(MAX_QUARANTINE_MS, durationMs);
  }

  /** Whether a key ran here since the crash, or the crash is long ago. */
  readonly #isCleared = (key: string, { engine }: CrashRecord): boolean => {
    const nowMs = this.#options.clock.now();
    const sinceMs = this.#knownSinceMs.get(engine) ?? nowMs;
    return nowMs - sinceMs > RECORD_TTL_MS ||
      this.#sound.hasRunSince(key, sinceMs);
  };

  /** Removes keys from the shared log that this router knows to be harmless. */
  #clearLater(): void {
    if (this.#clearing || !this.#hasClearedKeys()) return;
    this.#clearing = true;
    this.#update();
    void this.#spread().then(() => {
      this.#clearing = false;
      if (this.#hasClearedKeys()) this.#startPublishing();
    });
  }

  /** Publishes what other routers have not published by then. */
  #publishLater(): void {
    void this.#spread().then(() => this.#startPublishing());
  }

  #spread(): Promise<void> {
    return sleep(this.#options.random.int(0, PUBLISH_SPREAD_MS));
  }

  #startPublishing(): void {
    this.#changed = true;
    if (!this.#publishing) void this.#publish();
  }

  #hasClearedKeys(): boolean {
    const records = this.#records;
    return !areSameRecords(removeKeys(records, this.#isCleared), records);
  }

  /** Writes this router's changes until the shared log has them. */
  async #publish(): Promise<void> {
    this.#publishing = true;
    let backoffMs = MIN_BACKOFF_MS;
    while (this.#changed) {
      this.#changed = false;
      if (await this.#tryPublish()) {
        backoffMs = MIN_BACKOFF_MS;
        continue;
      }
      this.#changed = true;
      await sleep(backoffMs * (0.5 + this.#options.random.float()));
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
    this.#publishing = false;
  }

  /** Writes this router's changes once; an exception counts as a failure. */
  async #tryPublish(): Promise<boolean> {
    try {
      return await this.#publishOnce();
    } catch (err) {
      this.#options.log("crashes_not_published", {
        message: errorMessage(err),
      });
      return false;
    }
  }

  async #publishOnce(): Promise<boolean> {
    const added = this.#unpublished;
    const stored = await this.#options.crashLog().update((records) => {
      const merged = mergeCrashRecords(records, added);
      const next = removeKeys(merged, this.#isCleared);
      return areSameRecords(next, records) ? undefined : next;
    });
    if (!stored) return false;
    this.#unpublished = this.#unpublished.filter((item) =>
      !added.includes(item)
    );
    this.observe(stored);
    return true;
  }
}
