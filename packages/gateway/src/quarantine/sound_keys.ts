/**
 * Remembers which prompt parts engines have run without crashing, so that a part
 * which many requests share is not suspected whenever an engine crashes for
 * another reason. A part may become harmful later, for example with a new
 * version of the engines: after several crashes without a run it counts as
 * unknown again.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";

interface SoundPart {
  /** Last time that a request with the part ran, in clock milliseconds. */
  lastRunMs: number;
  /** Crashes since then that it was present at. */
  crashes: number;
  lastCrashMs: number;
}

const MAX_PARTS = 4_096;
/** Crashes after which a part that has run before is suspected. */
const CRASHES_TO_SUSPECT = 3;
/** Engines that crash within this time may have a common cause, in ms. */
const SAME_OUTAGE_MS = 1_000;

/** The parts that have run at this router's requests. */
export class SoundParts {
  readonly #clock: Clock;
  readonly #parts = new LRUCache<string, SoundPart>({ max: MAX_PARTS });

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request with `part` ran. */
  recordRun(part: string): void {
    this.#parts.set(part, {
      lastRunMs: this.#clock.now(),
      crashes: 0,
      lastCrashMs: -Infinity,
    });
  }

  /** Records that `part` was present at a crash; true if it is suspected. */
  recordCrash(part: string): boolean {
    const sound = this.#parts.get(part);
    if (!sound) return true;
    const nowMs = this.#clock.now();
    if (nowMs - sound.lastCrashMs >= SAME_OUTAGE_MS) sound.crashes += 1;
    sound.lastCrashMs = nowMs;
    if (sound.crashes < CRASHES_TO_SUSPECT) return false;
    this.#parts.delete(part);
    return true;
  }

  /** True if a request with `part` ran after `timeMs`, in clock milliseconds. */
  hasRunSince(part: string, timeMs: number): boolean {
    const sound = this.#parts.get(part);
    return sound !== undefined && sound.lastRunMs > timeMs;
  }
}
