/**
 * Keeps to the request rates and the pauses that backend servers in need ask for.
 * A pause is asked of one router and is a limit of nothing. A rate limit holds
 * for all routers together, and they don't coordinate: each backend server has
 * a few routers that may use it while it is limited, the same for all routers
 * that know each other's names, and each of these has an equal share. Many
 * routers with a tiny share each could all send their first request at once.
 *
 * A limit holds until the backend server responds without naming one. A router
 * that has no share sends nothing that could show it, so it has to ask now and
 * then.
 */
import type { Clock, Random } from "@sassafrascleat/runtime";
import { RouterRanks } from "./router_ranks.ts";

/** Options of {@link RequestRateLimits}. */
export interface RequestRateLimitsOptions {
  clock: Clock;
  random: Random;
  /** Name of this router among those that share the limits. */
  routerName: string;
  /** Number of routers that is assumed until their names are known. */
  assumedRouters: number;
}

/** What is known of one limited backend server. */
interface LimitState {
  /** Requests per second, over all routers. */
  perSecond: number;
  /** This router's part of that. */
  sharePerSecond: number;
  /** Requests that this router may send now; negative after forced ones. */
  tokens: number;
  refilledAtMs: number;
  /** Last time that the backend server named the limit. */
  namedAtMs: number;
  /** Last time that this router asked whether the limit still holds. */
  askedAtMs: number;
}

/** Each of the routers that use a limited server may save up one request. */
const MAX_TOKENS = 1;
/** Fewest routers that use a limited server; more if its rate allows. */
const MIN_SENDERS = 4;
/** Time after which a router without a share asks again, in milliseconds. */
const ASK_AGAIN_MS = 2_000;

/** The limits and pauses of backend servers, and this router's shares. */
export class RequestRateLimits {
  readonly #options: RequestRateLimitsOptions;
  readonly #states = new Map<string, LimitState>();
  /** Ends of pauses, in clock milliseconds, by incarnation. */
  readonly #pausedUntilMs = new Map<string, number>();
  readonly #ranks: RouterRanks;

  constructor(options: RequestRateLimitsOptions) {
    this.#options = options;
    this.#ranks = new RouterRanks(options.routerName);
  }

  /** Number of backend servers that limit their rate or paused lately. */
  get count(): number {
    return this.#states.size + this.#pausedUntilMs.size;
  }

  /** Sends the backend server nothing for a while; true if that is news. */
  pause(key: string, forMs: number): boolean {
    const isNew = !this.isPaused(key);
    const untilMs = this.#options.clock.now() + forMs;
    const knownMs = this.#pausedUntilMs.get(key) ?? -Infinity;
    this.#pausedUntilMs.set(key, Math.max(untilMs, knownMs));
    return isNew;
  }

  /** Whether the backend server has asked for a pause that isn't over. */
  isPaused(key: string): boolean {
    return this.#pauseMs(key) > 0;
  }

  /** Sets the names of all routers that share the limits. */
  setRouters(names: readonly string[]): void {
    this.#ranks.setRouters(names);
    for (const [key, state] of this.#states) {
      this.#refill(state);
      state.sharePerSecond = this.#shareOf(key, state.perSecond);
    }
  }

  /**
   * Records a response: its limit in requests per second, or undefined if it
   * names none. `sentAtMs` is when its request was sent. True if the limit of the
   * backend server has changed.
   */
  observe(
    key: string,
    perSecond: number | undefined,
    sentAtMs: number,
  ): boolean {
    const nowMs = this.#options.clock.now();
    const state = this.#states.get(key);
    if (perSecond === undefined) {
      // A response that was sent before the limit was named says nothing.
      if (!state || sentAtMs < state.namedAtMs) return false;
      this.#states.delete(key);
      return true;
    }
    if (!state) {
      this.#states.set(key, {
        perSecond,
        sharePerSecond: this.#shareOf(key, perSecond),
        tokens: this.#options.random.float(),
        refilledAtMs: nowMs,
        namedAtMs: nowMs,
        askedAtMs: nowMs,
      });
      return true;
    }
    state.namedAtMs = nowMs;
    if (state.perSecond === perSecond) return false;
    this.#refill(state);
    state.perSecond = perSecond;
    state.sharePerSecond = this.#shareOf(key, perSecond);
    return true;
  }

  /** Whether a request may be sent to the backend server now. */
  allows(key: string): boolean {
    if (this.isPaused(key)) return false;
    const state = this.#states.get(key);
    if (!state) return true;
    this.#refill(state);
    return state.tokens >= 1;
  }

  /** Counts a request to the backend server if it may be sent now. */
  tryAcquire(key: string): boolean {
    if (!this.allows(key)) return false;
    this.charge(key);
    return true;
  }

  /** Counts a request that is sent in any case. */
  charge(key: string): void {
    const state = this.#states.get(key);
    if (state) state.tokens -= 1;
  }

  /** Gives back a request that was counted and not sent. */
  refund(key: string): void {
    const state = this.#states.get(key);
    if (state) state.tokens = Math.min(MAX_TOKENS, state.tokens + 1);
  }

  /** Time until a request may be sent, in ms; infinite without a share. */
  waitMs(key: string): number {
    return Math.max(this.#pauseMs(key), this.#limitWaitMs(key));
  }

  /** True if the router should ask whether the limit still holds. */
  shouldAsk(key: string): boolean {
    const state = this.#states.get(key);
    if (!state || this.isPaused(key)) return false;
    const nowMs = this.#options.clock.now();
    const lastMs = Math.max(state.namedAtMs, state.askedAtMs);
    if (nowMs - lastMs < ASK_AGAIN_MS) return false;
    state.askedAtMs = nowMs;
    return true;
  }

  /** Deletes the limit of an incarnation that has been removed. */
  forget(key: string): void {
    this.#states.delete(key);
    this.#pausedUntilMs.delete(key);
  }

  /** Time until the pause of the backend server ends, in milliseconds. */
  #pauseMs(key: string): number {
    const untilMs = this.#pausedUntilMs.get(key);
    if (untilMs === undefined) return 0;
    const leftMs = untilMs - this.#options.clock.now();
    if (leftMs <= 0) this.#pausedUntilMs.delete(key);
    return Math.max(0, leftMs);
  }

  #limitWaitMs(key: string): number {
    const state = this.#states.get(key);
    if (!state) return 0;
    this.#refill(state);
    if (state.tokens >= 1) return 0;
    return (1 - state.tokens) / state.sharePerSecond * 1000;
  }

  #refill(state: LimitState): void {
    const nowMs = this.#options.clock.now();
    const added = state.sharePerSecond * (nowMs - state.refilledAtMs) / 1000;
    state.tokens = Math.min(MAX_TOKENS, state.tokens + added);
    state.refilledAtMs = nowMs;
  }

  /** This router's share of the limit, in requests per second. */
  #shareOf(key: string, perSecond: number): number {
    const { count } = this.#ranks;
    if (count === 0) return perSecond / this.#options.assumedRouters;
    const senders = Math.min(count, MIN_SENDERS + Math.floor(perSecond));
    if (senders === count) return perSecond / senders;
    return this.#ranks.rankFor(key) < senders ? perSecond / senders : 0;
  }
}
