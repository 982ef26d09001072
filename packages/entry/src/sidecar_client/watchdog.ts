/**
 * Detects calls and streams on which nothing arrives for a given time. All
 * timers share one interval. If this process itself was delayed, a tick counts
 * for at most `MAX_STEP_MS`: a busy entry must not mistake its own delay for
 * silence of its peers and respond with retries and new connections.
 */
import type { Clock } from "@sassafrascleat/runtime";

const TICK_MS = 20;
const MAX_STEP_MS = 30;

/** Timer of one call or stream. */
export interface SilenceTimer {
  /** Starts the timer again, because something arrived. */
  restart(): void;
  /** Suspends the timer until `restart`. */
  pause(): void;
  stop(): void;
}

interface TimerState {
  waitMs: number;
  /** Undefined while the timer is suspended. */
  sinceMs: number | undefined;
  onSilence: () => void;
}

/** Runs the silence timers of an entry. */
export class Watchdog {
  readonly #clock: Clock;
  readonly #timers = new Set<TimerState>();
  #tickInterval: NodeJS.Timeout | undefined;
  #tickedAtMs = 0;
  #activeMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls `onSilence` once if the timer is not restarted for `waitMs`. */
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
