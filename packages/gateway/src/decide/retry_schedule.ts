/**
 * Computes when callers whose requests were refused for lack of decode memory
 * should retry. A burst lasts some seconds; callers that retry within it, or
 * all at the same time after it, are refused again, and most don't try a third
 * time. The schedule therefore starts at the expected end of the shortage and
 * gives one caller after another its own time, as far apart as the engines
 * finish generations beyond the usual load. The caller refused first, which has
 * waited longest, gets the earliest time.
 */
import type { Clock, Random } from "@sassafrascleat/runtime";
import { DecayedRate } from "./decayed_rate.ts";

/** Options of {@link RetrySchedule}. */
export interface RetryScheduleOptions {
  clock: Clock;
  random: Random;
}

/** A request that got no decode memory. */
export interface RefusedRequest {
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  /** Expected duration of the request once it is placed, in milliseconds. */
  durationMs: number;
}

/** When a refused caller should retry, and what decided it. */
export interface RetryTime {
  /** Wait until the retry, in milliseconds. */
  delayMs: number;
  /** Time since the shortage began, in milliseconds. */
  shortageMs: number;
  /** Retries that are expected to get memory, per second. */
  sparePerSecond: number;
}

/** Time without a refusal after which a shortage has ended, in milliseconds. */
const SHORTAGE_GAP_MS = 2_000;
/** Duration of a shortage until one was observed, in milliseconds. */
const DEFAULT_SHORTAGE_MS = 4_000;
const MIN_SHORTAGE_MS = 500;
const MAX_SHORTAGE_MS = 8_000;
/** Shortages over which their duration is averaged. */
const SHORTAGE_WINDOW = 4;
/** Rest of a shortage that lasts longer than expected, as a part of its age. */
const OVERDUE_RATIO = 0.25;
/** Time in which the rate of ended generations falls to 1/e, in ms. */
const ENDS_DECAY_MS = 3_000;
/** The same of the usual rate of arrivals, in milliseconds. */
const ARRIVALS_DECAY_MS = 15_000;
/** Part of the capacity that retries get at least. */
const MIN_SPARE_SHARE = 0.25;
/** Retries that are admitted at least, per millisecond. */
const MIN_SPARE_PER_MS = 0.5 / 1_000;
const MIN_WAIT_MS = 50;
/** Time that a retry is left with, in expected durations. */
const DURATIONS_LEFT = 1.5;
/**
 * Part of the time until the deadline that every caller may be told to wait,
 * because a retry at once would only add to the shortage.
 */
const MIN_WAIT_SHARE = 0.3;
/** Added to the age of a shortage, so that its first refusals give no rate. */
const MIN_OBSERVED_MS = 500;
/**
 * Part of the expected refusals that the schedule leaves time for; their callers
 * may retry later than those refused before them.
 */
const EXPECTED_REFUSALS_SHARE = 0.5;

/** Retry times of the callers that this router refused for one service. */
export class RetrySchedule {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #ends: DecayedRate;
  readonly #arrivals: DecayedRate;
  #startMs = -Infinity;
  #lastRefusalMs = -Infinity;
  #shortageMs = DEFAULT_SHORTAGE_MS;
  /** Refusals in this shortage. */
  #refusals = 0;
  /** Arrivals per millisecond before the shortage. */
  #usualRate = 0;
  /** Start of the first part of the schedule that no caller was given. */
  #nextMs = -Infinity;

  constructor({ clock, random }: RetryScheduleOptions) {
    this.#clock = clock;
    this.#random = random;
    this.#ends = new DecayedRate(ENDS_DECAY_MS, clock.now());
    this.#arrivals = new DecayedRate(ARRIVALS_DECAY_MS, clock.now());
  }

  /** Counts a request that asks for decode memory. */
  recordArrival(): void {
    const nowMs = this.#clock.now();
    if (!this.#isShort(nowMs)) this.#arrivals.add(nowMs);
  }

  /** Counts a generation that has ended. */
  recordEnd(): void {
    this.#ends.add(this.#clock.now());
  }

  /** Returns when the caller should retry. */
  refuse(request: RefusedRequest): RetryTime {
    const nowMs = this.#clock.now();
    if (!this.#isShort(nowMs)) this.#beginShortage(nowMs);
    this.#lastRefusalMs = nowMs;
    this.#refusals += 1;
    const sparePerMs = this.#spareRate(nowMs);
    return {
      delayMs: this.#schedule(request, nowMs, sparePerMs),
      shortageMs: nowMs - this.#startMs,
      sparePerSecond: sparePerMs * 1_000,
    };
  }

  #schedule(
    { remainingMs, durationMs }: RefusedRequest,
    nowMs: number,
    sparePerMs: number,
  ): number {
    const endMs = this.#expectedEndMs(nowMs);
    const latestMs = nowMs + Math.max(
      MIN_WAIT_MS,
      remainingMs * MIN_WAIT_SHARE,
      remainingMs - DURATIONS_LEFT * durationMs,
    );
    const earliestMs = Math.min(endMs, (nowMs + latestMs) / 2);
    const nextMs = Math.max(this.#nextMs, earliestMs);
    if (nextMs >= latestMs) {
      // Others got all times before this caller's deadline, so any is as good.
      return Math.max(MIN_WAIT_MS, this.#between(earliestMs, latestMs) - nowMs);
    }
    // The rest of the schedule also has to do for those refused from now on.
    const partMs = (latestMs - nextMs) / this.#expectedRefusals(nowMs, endMs);
    const untilMs = nextMs + Math.min(1 / sparePerMs, partMs);
    this.#nextMs = untilMs;
    return Math.max(MIN_WAIT_MS, this.#between(nextMs, untilMs) - nowMs);
  }

  /** Refusals until the expected end of the shortage, this one included. */
  #expectedRefusals(nowMs: number, endMs: number): number {
    const observedMs = nowMs - this.#startMs + MIN_OBSERVED_MS;
    const perMs = this.#refusals / observedMs;
    return 1 + EXPECTED_REFUSALS_SHARE * perMs * (endMs - nowMs);
  }

  #isShort(nowMs: number): boolean {
    return nowMs - this.#lastRefusalMs < SHORTAGE_GAP_MS;
  }

  #beginShortage(nowMs: number): void {
    const durationMs = this.#lastRefusalMs - this.#startMs;
    if (durationMs >= 0) {
      const change = (durationMs - this.#shortageMs) / SHORTAGE_WINDOW;
      this.#shortageMs = Math.min(
        MAX_SHORTAGE_MS,
        Math.max(MIN_SHORTAGE_MS, this.#shortageMs + change),
      );
    }
    this.#startMs = nowMs;
    this.#refusals = 0;
    this.#usualRate = this.#arrivals.rate(nowMs);
  }

  #expectedEndMs(nowMs: number): number {
    const overdueMs = (nowMs - this.#startMs) * OVERDUE_RATIO;
    return Math.max(
      this.#startMs + this.#shortageMs,
      nowMs + Math.max(MIN_WAIT_MS, overdueMs),
    );
  }

  /** Generations per millisecond that end beyond the usual arrivals. */
  #spareRate(nowMs: number): number {
    const capacity = this.#ends.rate(nowMs);
    return Math.max(
      capacity - this.#usualRate,
      capacity * MIN_SPARE_SHARE,
      MIN_SPARE_PER_MS,
    );
  }

  #between(fromMs: number, untilMs: number): number {
    return fromMs + this.#random.float() * (untilMs - fromMs);
  }
}
