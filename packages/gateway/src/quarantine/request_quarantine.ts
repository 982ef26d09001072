/**
 * Keeps prompts away from the engines that they would crash. A prompt part may
 * trigger a fault that crashes each engine which begins to run a request with
 * it, together with all other requests there. Routers share what they see of
 * such crashes, and reject requests with the parts that caused them until the
 * quarantine ends; it lasts longer with each crash.
 */
import { type Clock, type Logger, sleep } from "@sassafrascleat/runtime";
import type { Random } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";
import {
  type CrashCause,
  type CrashRecord,
  findCrashCauses,
  hasAllParts,
} from "../decide/crash_causes.ts";
import type { PromptPart } from "../http/wire_codec.ts";
import {
  areSameRecords,
  type CrashLog,
  mergeCrashRecords,
  removeParts,
} from "./crash_log.ts";
import { SoundParts } from "./sound_parts.ts";

/** Options of {@link PromptQuarantine}. */
export interface PromptQuarantineOptions {
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

/** Knows which prompts crash engines. */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #sound: SoundParts;
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
  #publishing = false;
  #changed = false;
  #clearing = false;

  constructor(options: PromptQuarantineOptions) {
    this.#options = options;
    this.#sound = new SoundParts(options.clock);
  }

  /** How long the prompt is rejected, in milliseconds; 0 if it is not. */
  remainingMs(service: string, prompt: readonly PromptPart[]): number {
    if (this.#causes.length === 0) return 0;
    const parts = new Set(sharedParts(service, prompt));
    const ends = this.#causes
      .filter((cause) => hasAllParts(parts, cause))
      .map((cause) => this.#quarantineEndMs(cause));
    return Math.max(0, ...ends.map((end) => end - this.#options.clock.now()));
  }

  /** Records that an engine ran a request with this prompt. */
  recordRun(service: string, prompt: readonly PromptPart[]): void {
    for (const part of sharedParts(service, prompt)) {
      this.#sound.recordRun(part);
    }
    this.#clearLater();
  }

  /** Records that an engine crashed before it began to run a request. */
  recordCrash(
    service: string,
    engine: string,
    prompt: readonly PromptPart[],
  ): void {
    if (prompt.length === 0) return;
    const parts = sharedParts(service, prompt)
      .filter((part) => this.#sound.recordCrash(part));
    this.#options.log("crash_with_prompt", {
      engine,
      service,
      suspected: parts.join(","),
      parts: prompt.length,
    });
    if (parts.length === 0) return;
    const record = { engine, parts };
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
    for (const { engine } of records) {
      if (!this.#knownSinceMs.has(engine)) {
        this.#knownSinceMs.set(engine, nowMs);
      }
    }
    this.#setCauses(findCrashCauses(removeParts(records, this.#isCleared)));
  }

  #setCauses(causes: CrashCause[]): void {
    const before = JSON.stringify(this.#causes);
    this.#causes = causes;
    if (JSON.stringify(causes) === before) return;
    this.#options.log("prompts_quarantined", {
      causes: causes.map((cause) => cause.parts.join("+")).join(" "),
      crashes: causes.map((cause) => cause.crashes.length).join(" "),
    });
  }

  #quarantineEndMs({ crashes }: CrashCause): number {
    const lastMs = Math.max(
      ...crashes.map(({ engine }) => this.#knownSinceMs.get(engine) ?? 0),
    );
    const durationMs = BASE_QUARANTINE_MS * 2 ** (crashes.length - 2);
    return lastMs + Math.min(MAX_QUARANTINE_MS, durationMs);
  }

  /** Whether a part ran here since the crash, or the crash is long ago. */
  readonly #isCleared = (part: string, { engine }: CrashRecord): boolean => {
    const nowMs = this.#options.clock.now();
    const sinceMs = this.#knownSinceMs.get(engine) ?? nowMs;
    return nowMs - sinceMs > RECORD_TTL_MS ||
      this.#sound.hasRunSince(part, sinceMs);
  };

  /** Removes parts from the shared log that this router knows to be harmless. */
  #clearLater(): void {
    if (this.#clearing || !this.#hasClearedParts()) return;
    this.#clearing = true;
    this.#update();
    void this.#spread().then(() => {
      this.#clearing = false;
      if (this.#hasClearedParts()) this.#startPublishing();
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

  #hasClearedParts(): boolean {
    const records = this.#records;
    return !areSameRecords(removeParts(records, this.#isCleared), records);
  }

  /** Writes this router's changes until the shared log has them. */
  async #publish(): Promise<void> {
    this.#publishing = true;
    let backoffMs = MIN_BACKOFF_MS;
    while (this.#changed) {
      this.#changed = false;
      const added = this.#unpublished;
      const stored = await this.#options.crashLog().update((records) => {
        const merged = mergeCrashRecords(records, added);
        const next = removeParts(merged, this.#isCleared);
        return areSameRecords(next, records) ? undefined : next;
      });
      if (stored) {
        backoffMs = MIN_BACKOFF_MS;
        this.#unpublished = this.#unpublished.filter((item) =>
          !added.includes(item)
        );
        this.observe(stored);
        continue;
      }
      this.#changed = true;
      await sleep(backoffMs * (0.5 + this.#options.random.float()));
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
    this.#publishing = false;
  }
}

/**
 * Keys of the parts that other requests may have in common. The last part belongs
 * to the request itself. Another service may run what crashes this one.
 */
function sharedParts(
  service: string,
  prompt: readonly PromptPart[],
): string[] {
  return prompt.slice(0, -1).map((part) => `${service}/${part.id}`);
}
