/**
 * Places the waiting requests of one service in the order of its admission
 * queue. When the pool is full, the dispatcher pauses for about the delay that
 * a sidecar suggested; the end of another request resumes it immediately.
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
  DISPATCH_INTERVAL_MS,
  MAX_CONCURRENT_RESERVATIONS,
  MAX_POOL_FULL_PAUSE_MS,
  MIN_POOL_FULL_PAUSE_MS,
} from "../constants.ts";
import { abortOutcome, type Call, type GrantedSlot } from "./call.ts";
import type { EntryContext } from "./context.ts";
import type { Reserver } from "./reserver.ts";

interface Waiter {
  call: Call;
  ticket: AdmissionTicket;
  /** Candidates at the last try; 0 means an empty pool rather than a full one. */
  candidateCount: number;
  settle: (outcome: Outcome<GrantedSlot>) => void;
}

/** Runs the admission queue of one service. */
export class Dispatcher {
  readonly #ctx: EntryContext;
  readonly #reserver: Reserver;
  readonly #queue: AdmissionQueue;
  readonly #waiters = new Map<string, Waiter>();
  #reservationsInFlight = 0;
  #pausedUntilMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(ctx: EntryContext, reserver: Reserver, queue: AdmissionQueue) {
    this.#ctx = ctx;
    this.#reserver = reserver;
    this.#queue = queue;
  }

  get size(): number {
    return this.#queue.size;
  }

  /** Queues a call until it is placed, its wait times out or it is aborted. */
  place(call: Call, ticket: AdmissionTicket): Promise<Outcome<GrantedSlot>> {
    return this.#enqueue(call, ticket, () => {
      return this.#queue.offer(ticket, this.#ctx.clock.now());
    });
  }

  /**
   * Queues a call again after a failed attempt. It keeps its arrival time and is
   * not checked for admission again.
   */
  placeAgain(
    call: Call,
    ticket: AdmissionTicket,
  ): Promise<Outcome<GrantedSlot>> {
    return this.#enqueue(call, ticket, () => {
      this.#queue.requeue(ticket);
      return undefined;
    });
  }

  /** Ends a pause, because a slot may have become free. */
  wake(): void {
    this.#pausedUntilMs = 0;
    if (this.#waiters.size > 0) this.#dispatchQueued();
  }

  #enqueue(
    call: Call,
    ticket: AdmissionTicket,
    add: () => NotRun | undefined,
  ): Promise<Outcome<GrantedSlot>> {
    if (call.signal.aborted) return Promise.resolve(abortOutcome(call.signal));
    const rejection = add();
    if (rejection) return Promise.resolve(rejection);
    return new Promise((resolve) => {
      const onAbort = () => this.#handleAbort(waiter);
      const settle = (outcome: Outcome<GrantedSlot>) => {
        call.signal.removeEventListener("abort", onAbort);
        this.#waiters.delete(ticket.requestId);
        resolve(outcome);
      };
      const waiter: Waiter = { call, ticket, candidateCount: 0, settle };
      this.#waiters.set(ticket.requestId, waiter);
      call.signal.addEventListener("abort", onAbort, { once: true });
      this.#dispatchQueued();
    });
  }

  #dispatchQueued(): void {
    this.#refuseExpired();
    const nowMs = this.#ctx.clock.now();
    while (
      this.#reservationsInFlight < MAX_CONCURRENT_RESERVATIONS &&
      nowMs >= this.#pausedUntilMs
    ) {
      const ticket = this.#queue.next(nowMs);
      if (!ticket) break;
      const waiter = this.#waiters.get(ticket.requestId);
      if (waiter) void this.#tryPlace(waiter);
    }
    this.#schedule();
  }

  async #tryPlace(waiter: Waiter): Promise<void> {
    this.#reservationsInFlight += 1;
    const result = await this.#reserver.reserve(waiter.call);
    this.#reservationsInFlight -= 1;
    if (result.placed) this.#settlePlaced(waiter, result.place);
    else this.#requeue(waiter, result.retryAfterMs, result.candidates);
    this.#dispatchQueued();
  }

  #settlePlaced(waiter: Waiter, place: GrantedSlot): void {
    if (waiter.call.signal.aborted) {
      this.#reserver.release(place);
      return waiter.settle(abortOutcome(waiter.call.signal));
    }
    waiter.settle(answered(place));
  }

  #requeue(waiter: Waiter, retryAfterMs: number, candidates: number): void {
    if (waiter.call.signal.aborted) {
      return waiter.settle(abortOutcome(waiter.call.signal));
    }
    waiter.candidateCount = candidates;
    this.#queue.requeue(waiter.ticket);
    const waitMs = jitter(retryAfterMs, this.#ctx.options.random);
    const pauseMs = Math.min(
      MAX_POOL_FULL_PAUSE_MS,
      Math.max(MIN_POOL_FULL_PAUSE_MS, waitMs),
    );
    this.#pausedUntilMs = this.#ctx.clock.now() + pauseMs;
  }

  #refuseExpired(): void {
    for (const ticket of this.#queue.expired(this.#ctx.clock.now())) {
      const waiter = this.#waiters.get(ticket.requestId);
      waiter?.settle(queueTimeout(waiter));
    }
  }

  /** A waiter that is being placed settles after the reply to its reservation. */
  #handleAbort(waiter: Waiter): void {
    const removed = this.#queue.remove(waiter.ticket.requestId);
    if (removed) waiter.settle(abortOutcome(waiter.call.signal));
  }

  #schedule(): void {
    if (this.#timer || this.#waiters.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#dispatchQueued();
    }, DISPATCH_INTERVAL_MS);
  }
}

function queueTimeout(waiter: Waiter): NotRun {
  if (waiter.candidateCount > 0) {
    return notRun(
      NotRunReason.NoCapacity,
      "no backend server had a free slot in time; try again later",
      MAX_POOL_FULL_PAUSE_MS,
    );
  }
  return notRun(
    NotRunReason.BackendUnavailable,
    `no backend server of pool ${waiter.call.pool} was available in time`,
    1_000,
  );
}
