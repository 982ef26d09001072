/**
 * What this entry has placed at each engine, and what the engines' refusals
 * say. Several entries share the engines without a common ledger: the own book
 * tells the own share, a refusal that the rest is taken.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** The entry's own work at one engine. */
export interface EngineLoad {
  /** Tokens of memory reserved by own requests. */
  tokens: number;
  /** Own requests that are placed. */
  requests: number;
  /** Prompt tokens sent to be read and not yet answered. */
  readingTokens: number;
  /** Refused since then, in milliseconds of the process clock. */
  refusedAtMs: number;
  /** Tokens of the smallest request that was refused. */
  refusedTokens: number;
  /** Usual time beyond the own queue until a prompt is read, in milliseconds. */
  readDelayMs: number;
}

/** Averaging of the read delay, in prompts. */
const READ_DELAY_WINDOW = 6;
/** A delay that is not seen again halves in this time. */
const READ_DELAY_HALF_LIFE_MS = 1_000;

/** Owner of the loads, by incarnation. */
export class EngineBook {
  readonly #clock: Clock;
  readonly #loads = new Map<string, EngineLoad & { readSeenMs: number }>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The load of one incarnation. */
  of(key: string): EngineLoad & { readSeenMs: number } {
    const known = this.#loads.get(key);
    if (known) return known;
    const fresh = {
      tokens: 0,
      requests: 0,
      readingTokens: 0,
      refusedAtMs: -Infinity,
      refusedTokens: 0,
      readDelayMs: 0,
      readSeenMs: 0,
    };
    this.#loads.set(key, fresh);
    return fresh;
  }

  /** Books a request; the returned function takes it out again, once. */
  place(key: string, tokens: number): () => void {
    const load = this.of(key);
    load.tokens += tokens;
    load.requests += 1;
    let placed = true;
    return () => {
      if (!placed) return;
      placed = false;
      load.tokens -= tokens;
      load.requests -= 1;
    };
  }

  /** Books a prompt that is being read. */
  startReading(key: string, tokens: number): () => void {
    const load = this.of(key);
    load.readingTokens += tokens;
    let reading = true;
    return () => {
      if (!reading) return;
      reading = false;
      load.readingTokens -= tokens;
    };
  }

  /** Takes in how much longer than its own work a prompt took. */
  recordReadDelay(key: string, delayMs: number): void {
    const load = this.of(key);
    const before = this.readDelayMs(key);
    load.readDelayMs = before +
      (Math.max(0, delayMs) - before) / READ_DELAY_WINDOW;
    load.readSeenMs = this.#clock.now();
  }

  /** The usual read delay now. */
  readDelayMs(key: string): number {
    const load = this.of(key);
    const ageMs = this.#clock.now() - load.readSeenMs;
    return load.readDelayMs * 0.5 ** (ageMs / READ_DELAY_HALF_LIFE_MS);
  }

  /** The engine had no room for `tokens`. */
  refused(key: string, tokens: number): void {
    const load = this.of(key);
    load.refusedAtMs = this.#clock.now();
    load.refusedTokens = tokens;
  }

  /** The engine had room for `tokens`. */
  accepted(key: string, tokens: number): void {
    const load = this.of(key);
    if (tokens >= load.refusedTokens) load.refusedAtMs = -Infinity;
  }

  /** Forgets an incarnation that is gone. */
  forget(key: string): void {
    this.#loads.delete(key);
  }
}
