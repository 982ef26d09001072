/**
 * The task that reads the change log from the store: all the time in a head,
 * and at a bounded, jittered rate in a daemon whose peers are silent or behind.
 */
import {
  childController,
  type Clock,
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import {
  FIRST_FALLBACK_MS,
  FIRST_FALLBACK_PEERS,
  ROLE_CHECK_MS,
  SILENT_AFTER_MS,
  STORE_FALLBACK_MS,
  STORE_FALLBACK_STALE_MS,
  STORE_GRACE_MS,
  STORE_PAUSE_MS,
  STORE_RETRY_MAX_MS,
  STORE_RETRY_MS,
  STORE_WATCH_MS,
} from "../constants.ts";
import type { ChangeLogFollower } from "./change_log_follower.ts";
import { type Freshness, Staleness } from "./freshness.ts";
import type { PeerTable } from "./peer_table.ts";
import type { Puller } from "./puller.ts";

/** What a store reader works on. */
export interface StoreReaderParts {
  follower: ChangeLogFollower;
  freshness: Freshness;
  peers: PeerTable;
  puller: Puller;
  clock: Clock;
  random: Random;
}

const log = createLogger("relay");

/** Reads the store when this daemon's part asks for it. */
export class StoreReader {
  readonly #parts: StoreReaderParts;
  #failures = 0;
  #upkeep: Promise<void> | undefined;
  #fallbacks = 0;
  #lastFallbackMs: number;
  #fallbackFactor: number;

  constructor(parts: StoreReaderParts) {
    this.#parts = parts;
    this.#fallbackFactor = jitter(1, parts.random);
    this.#lastFallbackMs = parts.clock.now();
  }

  /** Whether a call has failed since the last one that was answered. */
  get isSilent(): boolean {
    return this.#failures > 0;
  }

  /** Reads until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#parts.peers.isHead()) await this.#watch(signal);
      else if (this.#isFallbackDue()) await this.#fallBack(signal);
      else await sleep(ROLE_CHECK_MS, signal);
    }
    await this.#upkeep;
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const answered = await this.#poll(STORE_WATCH_MS, signal);
    if (answered) this.#startUpkeep(signal);
    const backoffMs = STORE_RETRY_MS * 2 ** Math.max(0, this.#failures - 1);
    const pauseMs = answered
      ? STORE_PAUSE_MS
      : Math.min(backoffMs, STORE_RETRY_MAX_MS);
    await sleep(jitter(pauseMs, this.#parts.random), signal);
  }

  #startUpkeep(signal: AbortSignal): void {
    if (this.#upkeep) return;
    this.#upkeep = this.#parts.follower.maintain?.(signal)
      .finally(() => this.#upkeep = undefined);
  }

  #isFallbackDue(): boolean {
    const { clock, freshness, puller } = this.#parts;
    const silent = puller.silentMs() > SILENT_AFTER_MS;
    if (!silent && freshness.staleness === Staleness.Current) return false;
    const pauseMs = silent ? STORE_FALLBACK_MS : this.#pauseMs();
    const waitedMs = clock.now() - this.#lastFallbackMs;
    return waitedMs >= pauseMs * this.#fallbackFactor;
  }

  /**
   * After a start the heads' word is waited for, longer in a large zone, so
   * that a fleet that starts at once does not go to the store as one.
   */
  #pauseMs(): number {
    if (this.#fallbacks > 0) return STORE_FALLBACK_STALE_MS;
    const share = this.#parts.peers.ofOwnZone().length / FIRST_FALLBACK_PEERS;
    return FIRST_FALLBACK_MS * Math.max(1, share);
  }

  async #fallBack(signal: AbortSignal): Promise<void> {
    const { clock, puller, random } = this.#parts;
    this.#fallbacks += 1;
    this.#lastFallbackMs = clock.now();
    this.#fallbackFactor = jitter(1, random);
    log("store_fallback", { silentMs: Math.round(puller.silentMs()) });
    await this.#poll(0, signal);
  }

  async #poll(waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { clock, follower, freshness } = this.#parts;
    const startedAtMs = clock.now();
    const limit = childController(signal);
    const timer = setTimeout(() => limit.abort(), waitMs + STORE_GRACE_MS);
    const answered = await follower.poll(waitMs, limit.signal);
    clearTimeout(timer);
    limit.abort();
    if (answered) {
      this.#failures = 0;
      freshness.confirm(startedAtMs);
    } else if (!signal.aborted) {
      this.#failures += 1;
      log("store_silent", { failures: this.#failures });
    }
    return answered;
  }
}
