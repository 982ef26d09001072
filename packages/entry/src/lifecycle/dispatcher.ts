/**
 * Places the waiting requests of one service in the order of its admission
 * queue. While the pool is full the dispatcher pauses for the time that a
 * sidecar named; a request that ends here wakes it at once.
 */
import {
  answered,
  type NotRun,
  notRun,
  NotRunReason,
  type Outcome,
} from "@sassafrascleat/protocol";
import type { AdmissionQueue, AdmissionTicket } from "@sassafrascleat/routing";
import { jitter } from "@sassafrascleat/runtime";
import {
  DISPATCH_TICK_MS,
  MAX_BLOCKED_MS,
  MAX_PLACING,
  MIN_BLOCKED_MS,
} from "../constants.ts";
import { abortOutcome, type Call, type Place } from "./call.ts";
import type { EntryContext } from "./context.ts";
import type { Reserver } from "./reserver.ts";

interface Waiter {
  call: Call;
  ticket: AdmissionTicket;
  /** Candidates at the last try, to tell a full pool from an empty one. */
  candidates: number;
  settle: (outcome: Outcome<Place>) => void;
}

/** Owns the queue of one service. */
export class Dispatcher {
  readonly #ctx: EntryContext;
  readonly #reserver: Reserver;
  readonly #queue: AdmissionQueue;
  readonly #waiters = new Map<string, Waiter>();
  #placing = 0;
  #blockedUntilMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(ctx: EntryContext, reserver: Reserver, queue: AdmissionQueue) {
    this.#ctx = ctx;
    this.#reserver = reserver;
    this.#queue = queue;
  }

  get size(): number {
    return this.#queue.size;
  }

  /** Queues a call until it has a place, its time is over or its caller is gone. */
  place(call: Call, ticket: AdmissionTicket): Promise<Outcome<Place>> {
    return this.#enqueue(call, ticket, () => {
      return this.#queue.offer(ticket, this.#ctx.clock.now());
    });
  }

  /** Queues a call again after a failed attempt; it keeps its age and is not refused. */
  placeAgain(call: Call, ticket: AdmissionTicket): Promise<Outcome<Place>> {
    return this.#enqueue(call, ticket, () => {
      this.#queue.requeue(ticket);
      return undefined;
    });
  }

  /** Tells that a place became free. */
  wake(): void {
    this.#blockedUntilMs = 0;
    if (this.#waiters.size > 0) this.#pump();
  }

  #enqueue(
    call: Call,
    ticket: AdmissionTicket,
    add: () => NotRun | undefined,
  ): Promise<Outcome<Place>> {
    if (call.signal.aborted) return Promise.resolve(abortOutcome(call.signal));
    const refused = add();
    if (refused) return Promise.resolve(refused);
    return new Promise((resolve) => {
      const onAbort = () => this.#abandon(waiter);
      const settle = (outcome: Outcome<Place>) => {
        call.signal.removeEventListener("abort", onAbort);
        this.#waiters.delete(ticket.requestId);
        resolve(outcome);
      };
      const waiter: Waiter = { call, ticket, candidates: 0, settle };
      this.#waiters.set(ticket.requestId, waiter);
      call.signal.addEventListener("abort", onAbort, { once: true });
      this.#pump();
    });
  }

  #pump(): void {
    this.#refuseExpired();
    const nowMs = this.#ctx.clock.now();
    while (this.#placing < MAX_PLACING && nowMs >= this.#blockedUntilMs) {
      const ticket = this.#queue.next(nowMs);
      if (!ticket) break;
      const waiter = this.#waiters.get(ticket.requestId);
      if (waiter) void this.#try(waiter);
    }
    this.#schedule();
  }

  async #try(waiter: Waiter): Promise<void> {
    this.#placing += 1;
    const result = await this.#reserver.reserve(waiter.call);
    this.#placing -= 1;
    if (result.placed) this.#grant(waiter, result.place);
    else this.#putBack(waiter, result.retryAfterMs, result.candidates);
    this.#pump();
  }

  #grant(waiter: Waiter, place: Place): void {
    if (waiter.call.signal.aborted) {
      this.#reserver.release(place);
      return waiter.settle(abortOutcome(waiter.call.signal));
    }
    waiter.settle(answered(place));
  }

  #putBack(waiter: Waiter, retryAfterMs: number, candidates: number): void {
    if (waiter.call.signal.aborted) {
      return waiter.settle(abortOutcome(waiter.call.signal));
    }
    waiter.candidates = candidates;
    this.#queue.requeue(waiter.ticket);
    const waitMs = jitter(retryAfterMs, this.#ctx.options.random);
    const boundedMs = Math.min(
      MAX_BLOCKED_MS,
      Math.max(MIN_BLOCKED_MS, waitMs),
    );
    this.#blockedUntilMs = this.#ctx.clock.now() + boundedMs;
  }

  #refuseExpired(): void {
    for (const ticket of this.#queue.expired(this.#ctx.clock.now())) {
      const waiter = this.#waiters.get(ticket.requestId);
      waiter?.settle(overdue(waiter));
    }
  }

  /** A waiter that is being placed settles after its reservation's answer. */
  #abandon(waiter: Waiter): void {
    const waiting = this.#queue.remove(waiter.ticket.requestId);
    if (waiting) waiter.settle(abortOutcome(waiter.call.signal));
  }

  #schedule(): void {
    if (this.#timer || this.#waiters.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#pump();
    }, DISPATCH_TICK_MS);
  }
}

function overdue(waiter: Waiter): NotRun {
  if (waiter.candidates > 0) {
    return notRun(
      NotRunReason.NoCapacity,
      "no backend server had a free place in time; try again later",
      MAX_BLOCKED_MS,
    );
  }
  return notRun(
    NotRunReason.BackendUnavailable,
    `no backend server of pool ${waiter.call.pool} was available in time`,
    1_000,
  );
}
