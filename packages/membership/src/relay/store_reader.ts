/**
 * The task that reads the change log from the store: continuously on a head,
 * and at a bounded, jittered rate on a daemon whose peers do not reply or are
 * lagging.
 */
import {
  childAbortController,
  type Clock,
  createLogger,
  jitter,
  type Random,
  sleep,
} from "@sassafrascleat/runtime";
import {
  FIRST_FALLBACK_DELAY_MS,
  FIRST_FALLBACK_PEERS,
  PEER_SILENCE_TIMEOUT_MS,
  ROLE_CHECK_INTERVAL_MS,
  STORE_FALLBACK_INTERVAL_MS,
  STORE_FALLBACK_STALE_INTERVAL_MS,
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

/** Dependencies of a store reader. */
export interface StoreReaderDependencies {
  follower: ChangeLogFollower;
  freshness: Freshness;
  peers: PeerTable;
  puller: Puller;
  clock: Clock;
  random: Random;
}

const log = createLogger("relay");

/** Reads the store while this daemon is a head, or if its peers do not keep it current. */
export class StoreReader {
  readonly #dependencies: StoreReaderDependencies;
  #failures = 0;
  #maintenance: Promise<void> | undefined;
  #fallbackCount = 0;
  #lastFallbackAtMs: number;
  #fallbackJitter: number;

  constructor(dependencies: StoreReaderDependencies) {
    this.#dependencies = dependencies;
    this.#fallbackJitter = jitter(1, dependencies.random);
    this.#lastFallbackAtMs = dependencies.clock.now();
  }

  /** Whether a call has failed since the last successful one. */
  get isUnavailable(): boolean {
    return this.#failures > 0;
  }

  /** Reads until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#dependencies.peers.isHead()) await this.#watch(signal);
      else if (this.#isFallbackDue()) await this.#pollAsFallback(signal);
      else await sleep(ROLE_CHECK_INTERVAL_MS, signal);
    }
    await this.#maintenance;
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const answered = await this.#poll(STORE_WATCH_MS, signal);
    if (answered) this.#startMaintenance(signal);
    const backoffMs = STORE_RETRY_MS * 2 ** Math.max(0, this.#failures - 1);
    const pauseMs = answered
      ? STORE_PAUSE_MS
      : Math.min(backoffMs, STORE_RETRY_MAX_MS);
    await sleep(jitter(pauseMs, this.#dependencies.random), signal);
  }

  #startMaintenance(signal: AbortSignal): void {
    if (this.#maintenance) return;
    this.#maintenance = this.#dependencies.follower.maintain?.(signal)
      .finally(() => this.#maintenance = undefined);
  }

  #isFallbackDue(): boolean {
    const { clock, freshness, puller } = this.#dependencies;
    const arePeersSilent = puller.silentMs() > PEER_SILENCE_TIMEOUT_MS;
    if (!arePeersSilent && freshness.staleness === Staleness.Current) {
      return false;
    }
    const pauseMs = arePeersSilent
      ? STORE_FALLBACK_INTERVAL_MS
      : this.#staleFallbackIntervalMs();
    const waitedMs = clock.now() - this.#lastFallbackAtMs;
    return waitedMs >= pauseMs * this.#fallbackJitter;
  }

  /**
   * Interval between store reads while peers reply but the configuration is not
   * current. The first read is delayed in proportion to the size of the zone, to
   * give the heads time to answer, so that a fleet whose daemons all start at
   * once does not overload the store.
   */
  #staleFallbackIntervalMs(): number {
    if (this.#fallbackCount > 0) return STORE_FALLBACK_STALE_INTERVAL_MS;
    const share = this.#dependencies.peers.sameZonePeers().length /
      FIRST_FALLBACK_PEERS;
    return FIRST_FALLBACK_DELAY_MS * Math.max(1, share);
  }

  async #pollAsFallback(signal: AbortSignal): Promise<void> {
    const { clock, puller, random } = this.#dependencies;
    this.#fallbackCount += 1;
    this.#lastFallbackAtMs = clock.now();
    this.#fallbackJitter = jitter(1, random);
    log("store_fallback", { silentMs: Math.round(puller.silentMs()) });
    await this.#poll(0, signal);
  }

  async #poll(waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { clock, follower, freshness } = this.#dependencies;
    const startedAtMs = clock.now();
    const timeoutController = childAbortController(signal);
    const timer = setTimeout(
      () => timeoutController.abort(),
      waitMs + STORE_GRACE_MS,
    );
    const answered = await follower.poll(waitMs, timeoutController.signal);
    clearTimeout(timer);
    timeoutController.abort();
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
