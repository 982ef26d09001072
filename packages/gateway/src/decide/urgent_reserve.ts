/**
 * Keeps decode memory free for urgent requests. Long streams that are less
 * urgent otherwise fill every engine, and an urgent request that arrives then
 * waits until one of them ends, although it would go first in the queue. The
 * reserve follows the urgent demand of the last seconds: the memory that urgent
 * requests occupy on average. It is withheld as whole requests at a few engines,
 * since a small margin at every engine has room for none. All routers
 * choose the same engines by hash, without exchanging messages. The reserve is
 * released when no urgent requests arrive.
 */
import { type Clock, rendezvousRank } from "@sassafrascleat/runtime";
import type { Backend } from "../backends/backend.ts";

/** Options of {@link UrgentReserve}. */
export interface UrgentReserveOptions {
  clock: Clock;
  /** Number of routers, each of which sees a part of the demand. */
  routerCount: () => number;
}

/** A request that asks for memory. */
export interface MemoryRequest {
  /** 0 is the most urgent. */
  priority: number;
  tokens: number;
  /** Time that it is expected to hold its memory, in milliseconds. */
  holdMs: number;
}

/** The decode engines of a service. */
export interface EnginePool {
  engines: readonly Backend[];
  /** Memory of one engine, in tokens. */
  kvTokens: number;
}

/** Memory that a request has to leave free, by engine. */
export interface ReservePlan {
  /** Number of engines at which memory is withheld. */
  engineCount: number;
  /** Memory withheld at each of these, in tokens. */
  tokens: number;
  /** Memory withheld at an engine, in tokens. */
  tokensAt(engine: Backend): number;
}

/** Demand of the requests of one priority at this router. */
interface PriorityDemand {
  /** Decayed sum of tokens times milliseconds. */
  tokenMs: number;
  /** Size of a large request, in tokens. */
  tokens: number;
  /** Arrival of the last request, in milliseconds of the clock. */
  updatedMs: number;
}

/** Largest part of the engines' memory that is withheld. */
const MAX_MEMORY_SHARE = 0.1;
/** Time in which observed demand falls to 1/e, in milliseconds. */
const DECAY_MS = 15_000;
/** Time without urgent requests after which nothing is withheld, in ms. */
const RELEASE_AFTER_MS = 30_000;
/** Requests over which the size of a large one falls to smaller ones. */
const SIZE_WINDOW = 8;
/** Priorities that are told apart; the one with the oldest request is dropped. */
const MAX_PRIORITIES = 16;
const NO_RESERVE: ReservePlan = {
  engineCount: 0,
  tokens: 0,
  tokensAt: () => 0,
};

/** Reserve for the urgent requests of one service at this router. */
export class UrgentReserve {
  readonly #options: UrgentReserveOptions;
  readonly #demands = new Map<number, PriorityDemand>();
  readonly #ranksOf = new WeakMap<readonly Backend[], Map<string, number>>();

  constructor(options: UrgentReserveOptions) {
    this.#options = options;
  }

  /** Counts a request that asks for memory. */
  observe({ priority, tokens, holdMs }: MemoryRequest): void {
    const nowMs = this.#options.clock.now();
    const demand = this.#demands.get(priority) ??
      { tokenMs: 0, tokens: 0, updatedMs: nowMs };
    const kept = Math.exp((demand.updatedMs - nowMs) / DECAY_MS);
    demand.tokenMs = demand.tokenMs * kept + tokens * holdMs;
    const smaller = demand.tokens + (tokens - demand.tokens) / SIZE_WINDOW;
    demand.tokens = Math.max(tokens, smaller);
    demand.updatedMs = nowMs;
    this.#demands.delete(priority);
    this.#demands.set(priority, demand);
    if (this.#demands.size <= MAX_PRIORITIES) return;
    const [oldest = priority] = this.#demands.keys();
    this.#demands.delete(oldest);
  }

  /** Returns what a request of this priority leaves to more urgent ones. */
  plan(priority: number, { engines, kvTokens }: EnginePool): ReservePlan {
    const demand = this.#moreUrgentThan(priority);
    if (demand.tokens === 0 || engines.length === 0) return NO_RESERVE;
    const budget = MAX_MEMORY_SHARE * engines.length * kvTokens;
    const withheld = Math.min(demand.occupied, budget);
    const requests = Math.min(
      Math.ceil(withheld / demand.tokens),
      Math.floor(budget / demand.tokens),
    );
    const engineCount = Math.min(engines.length, Math.max(1, requests));
    const perEngine = engineCount < requests
      ? withheld / engineCount
      : Math.min(budget, demand.tokens);
    const tokens = Math.floor(Math.min(perEngine, kvTokens));
    const ranks = this.#rank(engines);
    const tokensAt = ({ id }: Backend) =>
      (ranks.get(id) ?? Infinity) < engineCount ? tokens : 0;
    return { engineCount, tokens, tokensAt };
  }

  /** Memory that more urgent requests of all routers occupy, and their size. */
  #moreUrgentThan(priority: number): { occupied: number; tokens: number } {
    const { clock, routerCount } = this.#options;
    const nowMs = clock.now();
    let occupied = 0;
    let tokens = 0;
    for (const [other, demand] of this.#demands) {
      const ageMs = nowMs - demand.updatedMs;
      if (other >= priority || ageMs > RELEASE_AFTER_MS) continue;
      const meanTokens = demand.tokenMs * Math.exp(-ageMs / DECAY_MS) /
        DECAY_MS;
      occupied += meanTokens * routerCount();
      tokens = Math.max(tokens, demand.tokens);
    }
    return { occupied, tokens };
  }

  /** Ranks the engines, in the same way at every router. */
  #rank(engines: readonly Backend[]): Map<string, number> {
    const known = this.#ranksOf.get(engines);
    if (known) return known;
    const hashes = engines.map(({ id }) => ({
      id,
      hash: rendezvousRank("urgent_reserve", id),
    }));
    hashes.sort((a, b) => b.hash - a.hash || (a.id < b.id ? -1 : 1));
    const ranks = new Map(hashes.map(({ id }, index) => [id, index]));
    this.#ranksOf.set(engines, ranks);
    return ranks;
  }
}
