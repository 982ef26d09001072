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
export interface SilenceTimer {
  /** Something was heard: the wait starts anew. */
  restart(): void;
  /** Suspends the wait until `heard`. */
  pause(): void;
  stop(): void;
}

interface TimerState {
  waitMs: number;
  /** Undefined while the wait is suspended. */
  sinceMs: number | undefined;
  onSilence: () => void;
}

/** Owns the waits of an entry. */
export class Watchdog {
  readonly #clock: Clock;
  readonly #timers = new Set<TimerState>();
  #tickInterval: NodeJS.Timeout | undefined;
  #tickedAtMs = 0;
  #activeMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls `onSilence` once when nothing is heard for `waitMs`. */
  watch(waitMs: number, onSilence: () => void): SilenceTimer {
    const state: TimerState = { waitMs, sinceMs: this.#activeMs, onSilence };
    this.#timers.add(state);
    this.#startTicking();
    return {
      restart: () => state.sinceMs = this.#activeMs,
      pause: () => state.sinceMs = undefined,
      stop: () => this.#timers.delete(state),
    };
  }

  #startTicking(): void {
    if (this.#tickInterval) return;
    this.#tickedAtMs = this.#clock.now();
    this.#tickInterval = setInterval(() => this.#tick(), TICK_MS);
    this.#tickInterval.unref();
  }

  #tick(): void {
    if (this.#timers.size === 0) {
      clearInterval(this.#tickInterval);
      this.#tickInterval = undefined;
      return;
    }
    const nowMs = this.#clock.now();
    this.#activeMs += Math.min(MAX_STEP_MS, nowMs - this.#tickedAtMs);
    this.#tickedAtMs = nowMs;
    for (const state of this.#timers) {
      if (state.sinceMs === undefined) continue;
      if (this.#activeMs - state.sinceMs < state.waitMs) continue;
      this.#timers.delete(state);
      state.onSilence();
    }
  }
}
