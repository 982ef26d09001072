/**
 * Tells when nothing was heard for a time. All waits share one tick. Time that
 * this process itself was held up counts for at most `MAX_STEP_MS` a tick: a
 * busy entry must not take its own lag for silence of the others, and answer
 * it with repeats and new connections.
 */
import type { Clock } from "@sassafrascleat/runtime";

const TICK_MS = 20;
const MAX_STEP_MS = 30;

/** One wait. */
export interface Watch {
  /** Something was heard: the wait starts anew. */
  heard(): void;
  /** Suspends the wait until `heard`. */
  pause(): void;
  stop(): void;
}

interface WatchState {
  waitMs: number;
  /** Undefined while the wait is suspended. */
  sinceMs: number | undefined;
  onSilence: () => void;
}

/** Owns the waits of an entry. */
export class Watchdog {
  readonly #clock: Clock;
  readonly #watches = new Set<WatchState>();
  #timer: NodeJS.Timeout | undefined;
  #tickedAtMs = 0;
  #aliveMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls `onSilence` once when nothing is heard for `waitMs`. */
  watch(waitMs: number, onSilence: () => void): Watch {
    const state: WatchState = { waitMs, sinceMs: this.#aliveMs, onSilence };
    this.#watches.add(state);
    this.#startTicking();
    return {
      heard: () => state.sinceMs = this.#aliveMs,
      pause: () => state.sinceMs = undefined,
      stop: () => this.#watches.delete(state),
    };
  }

  #startTicking(): void {
    if (this.#timer) return;
    this.#tickedAtMs = this.#clock.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#timer.unref();
  }

  #tick(): void {
    if (this.#watches.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    const nowMs = this.#clock.now();
    this.#aliveMs += Math.min(MAX_STEP_MS, nowMs - this.#tickedAtMs);
    this.#tickedAtMs = nowMs;
    for (const state of this.#watches) {
      if (state.sinceMs === undefined) continue;
      if (this.#aliveMs - state.sinceMs < state.waitMs) continue;
      this.#watches.delete(state);
      state.onSilence();
    }
  }
}
