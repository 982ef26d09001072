/**
 * Tracks the work that this router has placed on each engine, and the engines'
 * refusals. Several routers share the engines without common accounting: the
 * local counts cover this router's share, and a refusal shows that other
 * routers use the rest.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** This router's work on one engine. */
export interface EngineLoad {
  /** Memory reserved by this router's requests, in tokens. */
  tokens: number;
  /** Requests that this router has placed. */
  requestCount: number;
  /** Prompt tokens of unfinished prefills that this router has sent. */
  prefillTokens: number;
  /** Unfinished prefills that this router has sent. */
  prefillCount: number;
  /** Time of the last refusal, in milliseconds of the process clock. */
  lastRefusedAtMs: number;
  /** Size of the last refused request, in tokens. */
  refusedTokens: number;
  /**
   * Moving average of the prefill delay that this router's queue does not
   * account for, in milliseconds.
   */
  prefillDelayMs: number;
}

/** A prefill that has not ended. */
interface RunningPrefill {
  startedMs: number;
  /** Expected duration, this router's queue included, in milliseconds. */
  expectedMs: number;
}

interface TrackedLoad extends EngineLoad {
  prefillDelayUpdatedMs: number;
  runningPrefills: Set<RunningPrefill>;
}

/** Prompts over which the prefill delay is averaged. */
const PREFILL_DELAY_WINDOW_PROMPTS = 6;
/** Half-life of the average while there are no new samples. */
const PREFILL_DELAY_HALF_LIFE_MS = 1_000;

/** Keeps the loads of engines, by incarnation. */
export class EngineLoadTracker {
  readonly #clock: Clock;
  readonly #loads = new Map<string, TrackedLoad>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the load of an incarnation, created on first use. */
  loadOf(key: string): TrackedLoad {
    const known = this.#loads.get(key);
    if (known) return known;
    const fresh: TrackedLoad = {
      tokens: 0,
      requestCount: 0,
      prefillTokens: 0,
      prefillCount: 0,
      lastRefusedAtMs: -Infinity,
      refusedTokens: 0,
      prefillDelayMs: 0,
      prefillDelayUpdatedMs: -Infinity,
      runningPrefills: new Set(),
    };
    this.#loads.set(key, fresh);
    return fresh;
  }

  /**
   * Counts a placed request. The returned function removes it; calling that
   * again has no effect.
   */
  place(key: string, tokens: number): () => void {
    const load = this.loadOf(key);
    load.tokens += tokens;
    load.requestCount += 1;
    let placed = true;
    return () => {
      if (!placed) return;
      placed = false;
      load.tokens -= tokens;
      load.requestCount -= 1;
    };
  }

  /**
   * Counts a running prefill; the returned function removes it, once. It shows
   * an unexpected queue as soon as it takes longer than `expectedMs`.
   */
  startPrefill(
    key: string,
    tokens: number,
    expectedMs = Infinity,
  ): () => void {
    const load = this.loadOf(key);
    const prefill = { startedMs: this.#clock.now(), expectedMs };
    load.prefillTokens += tokens;
    load.runningPrefills.add(prefill);
    load.prefillCount += 1;
    return () => {
      if (!load.runningPrefills.delete(prefill)) return;
      load.prefillTokens -= tokens;
      load.prefillCount -= 1;
    };
  }

  /** How far the running prefills of an engine exceed what was expected, in ms. */
  overduePrefillMs(key: string): number {
    const nowMs = this.#clock.now();
    let overdueMs = 0;
    for (const { startedMs, expectedMs } of this.loadOf(key).runningPrefills) {
      overdueMs = Math.max(overdueMs, nowMs - startedMs - expectedMs);
    }
    return overdueMs;
  }

  /**
   * Records how much longer a prefill took than the prompt itself and this
   * router's queue account for.
   */
  recordPrefillDelay(key: string, delayMs: number): void {
    const load = this.loadOf(key);
    const before = this.prefillDelayMs(key);
    load.prefillDelayMs = before +
      (Math.max(0, delayMs) - before) / PREFILL_DELAY_WINDOW_PROMPTS;
    load.prefillDelayUpdatedMs = this.#clock.now();
  }

  /**
   * The average prefill delay. With the age of the last sample it approaches
   * `usualMs`. @default 0
   */
  prefillDelayMs(key: string, usualMs = 0): number {
    const load = this.loadOf(key);
    const ageMs = this.#clock.now() - load.prefillDelayUpdatedMs;
    const weight = 0.5 ** (ageMs / PREFILL_DELAY_HALF_LIFE_MS);
    return usualMs + (load.prefillDelayMs - usualMs) * weight;
  }

  /** Records that the engine has no capacity for `tokens`. */
  refused(key: string, tokens: number): void {
    const load = this.loadOf(key);
    load.lastRefusedAtMs = this.#clock.now();
    load.refusedTokens = tokens;
  }

  /** Clears a refusal of at most `tokens`, which the engine now accepted. */
  accepted(key: string, tokens: number): void {
    const load = this.loadOf(key);
    if (tokens >= load.refusedTokens) load.lastRefusedAtMs = -Infinity;
  }

  /** Deletes the load of an incarnation that has been removed. */
  forget(key: string): void {
    this.#loads.delete(key);
  }
}
