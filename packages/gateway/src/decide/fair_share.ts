/**
 * Divides decode memory among customers. A customer whose load rises to several
 * times its usual level would otherwise take most of the memory that is freed,
 * since it has the most requests in the queue. Each generation is charged its
 * memory times the time that it holds it, and the next customer is the one that
 * was charged least in the last seconds. Equal shares alone would leave a customer
 * with several times the others' load almost unserved, so a customer far below the
 * overall share of served requests goes first. Idle customers are forgotten.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** A generation that was placed. */
export interface FairShareCharge {
  /** Replaces the expected by the actual memory-time; later calls do nothing. */
  settle(): void;
}

/** What a customer was given lately; each value decays with time. */
interface CustomerState {
  /** Memory-time, in token milliseconds. */
  usage: number;
  /** Requests that were placed or refused. */
  ended: number;
  /** Requests that were placed. */
  placed: number;
  /** When the values were last updated, in milliseconds of the clock. */
  updatedMs: number;
}

/** Time that a generation holds its memory until one was observed, in ms. */
const DEFAULT_HOLD_MS = 3_000;
/** Generations over which the time that they hold memory is averaged. */
const HOLD_WINDOW = 32;
/**
 * Part of the overall share of served requests below which a customer goes
 * first. Above the guaranteed quarter, because the counts lag behind.
 */
const GUARDED_RATIO = 0.35;
/** Time in which what was counted falls to 1/e, in milliseconds. */
const DECAY_MS = 10_000;
/** Time without requests after which a customer is forgotten, in ms. */
const FORGET_AFTER_MS = 60_000;
const MAX_CUSTOMERS = 4_096;

/** Shares of the customers of one service at this router. */
export class FairShare {
  readonly #clock: Clock;
  /** In the order of their last use. Without a name: requests of no customer. */
  readonly #customers = new Map<string | undefined, CustomerState>();
  readonly #total: CustomerState;
  #holdMs = DEFAULT_HOLD_MS;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#total = newState(clock.now());
  }

  /** Number of customers that are remembered. */
  get size(): number {
    return this.#customers.size;
  }

  /** Mean time that generations hold their memory, in milliseconds. */
  get holdMs(): number {
    return this.#holdMs;
  }

  /**
   * Rank of a customer; the lowest goes first. Negative for customers far below
   * the overall share of served requests, else the recent memory-time.
   */
  rankOf(customer: string | undefined, nowMs: number): number {
    const state = this.#customers.get(customer);
    if (!state) return 0;
    const servedShare = servedShareOf(state);
    const guardedShare = GUARDED_RATIO * servedShareOf(this.#total);
    if (servedShare < guardedShare) return servedShare - 1;
    return Math.max(0, state.usage) * decay(nowMs - state.updatedMs);
  }

  /** Recent share of the requests that were placed, of a customer and of all. */
  servedShares(customer: string | undefined): { own: number; all: number } {
    const own = servedShareOf(this.#customers.get(customer));
    return { own, all: servedShareOf(this.#total) };
  }

  /** Charges a generation that was placed, with its expected memory-time. */
  place(customer: string | undefined, tokens: number): FairShareCharge {
    const expected = tokens * this.#holdMs;
    this.#record(customer, { usage: expected, ended: 1, placed: 1 });
    const startMs = this.#clock.now();
    let settled = false;
    return {
      settle: () => {
        if (settled) return;
        settled = true;
        const heldMs = this.#clock.now() - startMs;
        // The charge itself has decayed since.
        const charged = expected * this.#decaySince(startMs);
        const actual = tokens * heldMs * this.#decaySince(startMs);
        this.#correct(customer, actual - charged);
      },
    };
  }

  /** Counts a request that found no memory in time. */
  refuse(customer: string | undefined): void {
    this.#record(customer, { usage: 0, ended: 1, placed: 0 });
  }

  /** Records how long a complete generation has held its memory. */
  observeHold(heldMs: number): void {
    this.#holdMs += (heldMs - this.#holdMs) / HOLD_WINDOW;
  }

  #decaySince(sinceMs: number): number {
    return decay(this.#clock.now() - sinceMs);
  }

  #correct(customer: string | undefined, usage: number): void {
    const state = this.#customers.get(customer);
    if (state) this.#add(state, { usage, ended: 0, placed: 0 });
  }

  #record(
    customer: string | undefined,
    added: Omit<CustomerState, "updatedMs">,
  ): void {
    const state = this.#customers.get(customer) ?? newState(this.#clock.now());
    this.#customers.delete(customer);
    this.#customers.set(customer, state);
    this.#add(state, added);
    this.#add(this.#total, added);
    this.#forgetIdle();
  }

  #add(state: CustomerState, added: Omit<CustomerState, "updatedMs">): void {
    const kept = this.#decaySince(state.updatedMs);
    state.usage = state.usage * kept + added.usage;
    state.ended = state.ended * kept + added.ended;
    state.placed = state.placed * kept + added.placed;
    state.updatedMs = this.#clock.now();
  }

  /** Removes customers without recent requests, and the oldest beyond a bound. */
  #forgetIdle(): void {
    const oldestMs = this.#clock.now() - FORGET_AFTER_MS;
    for (const [name, { updatedMs }] of this.#customers) {
      const excess = this.#customers.size > MAX_CUSTOMERS;
      if (updatedMs >= oldestMs && !excess) return;
      this.#customers.delete(name);
    }
  }
}

function servedShareOf(state?: CustomerState): number {
  return state && state.ended > 0 ? state.placed / state.ended : 1;
}

function newState(nowMs: number): CustomerState {
  return { usage: 0, ended: 0, placed: 0, updatedMs: nowMs };
}

function decay(ageMs: number): number {
  return Math.exp(-ageMs / DECAY_MS);
}
