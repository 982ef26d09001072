/**
 * Remembers which prompt parts and whole requests backend servers have run
 * without crashing, by their keys, so that what occurs often is not suspected
 * whenever a server crashes for another reason. It may become harmful later, for
 * example with a new version of the server: after several crashes without a run
 * it counts as unknown again.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { LRUCache } from "lru-cache";

interface SoundKey {
  /** Last time that a request with the key ran, in clock milliseconds. */
  lastRunMs: number;
  /** Crashes since then that it was present at. */
  crashes: number;
  lastCrashMs: number;
}

const MAX_KEYS = 8_192;
/** Crashes after which a key that has run before is suspected. */
const CRASHES_TO_SUSPECT = 3;
/** Engines that crash within this time may have a common cause, in ms. */
const SAME_OUTAGE_MS = 1_000;

/** The keys of this router's requests that have run. */
export class SoundKeys {
  readonly #clock: Clock;
  readonly #keys = new LRUCache<string, SoundKey>({ max: MAX_KEYS });

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request with `key` ran. */
  recordRun(key: string): void {
    this.#keys.set(key, {
      lastRunMs: this.#clock.now(),
      crashes: 0,
      lastCrashMs: -Infinity,
    });
  }

  /** Records that `key` was present at a crash; true if it is suspected. */
  recordCrash(key: string): boolean {
    const sound = this.#keys.get(key);
    if (!sound) return true;
    const nowMs = this.#clock.now();
    if (nowMs - sound.lastCrashMs >= SAME_OUTAGE_MS) sound.crashes += 1;
    sound.lastCrashMs = nowMs;
    if (sound.crashes < CRASHES_TO_SUSPECT) return false;
    this.#keys.delete(key);
    return true;
  }

  /** True if a request with `key` ran after `timeMs`, in clock milliseconds. */
  hasRunSince(key: string, timeMs: number): boolean {
    const sound = this.#keys.get(key);
    return sound !== undefined && sound.lastRunMs > timeMs;
  }
}
