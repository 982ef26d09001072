/**
 * The admission queue. Tickets that can still meet their target are served
 * first: by fair queueing among customers, then by due time plus an offset for
 * lower classes. When the pool takes work too slowly for all of them to be in
 * time, the longest are deferred, lower classes first. Every
 * `oldestPickInterval`-th pick serves the oldest ticket regardless of its
 * state, so that a ticket with `n` older ones is served within
 * `(n + 1) * oldestPickInterval` picks.
 */
import {
  type NotRun,
  notRun,
  NotRunReason,
  RequestClass,
} from "@sassafrascleat/protocol";
import type { AdmissionQueue, AdmissionTicket } from "./admission.ts";
import {
  CLASS_DUE_TIME_OFFSET_MS,
  FAIRNESS_SLACK_MS,
  OLDEST_PICK_INTERVAL,
} from "./constants.ts";
import { VirtualTimes } from "./virtual_times.ts";
import { selectInTime, workMsOf } from "./selection.ts";
import { ServerCountEstimator } from "./server_count_estimator.ts";

/** Options of an admission queue. */
export interface AdmissionQueueOptions {
  /** Maximum number of waiting tickets. @default 400 */
  maxLength?: number;
  /** The oldest ticket is served once in this many picks. @default 16 */
  oldestPickInterval?: number;
  /** Allowed difference in service time between customers, in milliseconds. @default 250 */
  fairnessSlackMs?: number;
}

type ResolvedOptions = Required<AdmissionQueueOptions>;

function resolveOptions(raw: AdmissionQueueOptions): ResolvedOptions {
  return {
    maxLength: raw.maxLength ?? 400,
    oldestPickInterval: raw.oldestPickInterval ?? OLDEST_PICK_INTERVAL,
    fairnessSlackMs: raw.fairnessSlackMs ?? FAIRNESS_SLACK_MS,
  };
}

/** Returns the position of a class by urgency; 0 is the most urgent. */
export function classRank(requestClass: RequestClass): number {
  if (requestClass === RequestClass.Interactive) return 0;
  return requestClass === RequestClass.Standard ? 1 : 2;
}

/** Returns whether the ticket can no longer meet its first-token target. */
export function isLate(ticket: AdmissionTicket, nowMs: number): boolean {
  return nowMs + ticket.expectedServiceMs > ticket.firstTokenDueMs;
}

/** Creates an empty admission queue. */
export function createAdmissionQueue(
  options: AdmissionQueueOptions = {},
): AdmissionQueue {
  return new FairAdmissionQueue(resolveOptions(options));
}

class FairAdmissionQueue implements AdmissionQueue {
  readonly #options: ResolvedOptions;
  readonly #waiting = new Map<string, AdmissionTicket>();
  readonly #waitingCountByCustomer = new Map<string, number>();
  readonly #virtualTimes = new VirtualTimes();
  readonly #serverCount = new ServerCountEstimator();
  #nowMs = 0;
  #shed: AdmissionTicket[] = [];
  #pickCount = 0;

  constructor(options: ResolvedOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#waiting.size;
  }

  offer(ticket: AdmissionTicket, nowMs: number): NotRun | undefined {
    this.#advanceTo(nowMs);
    if (this.#waiting.size >= this.#options.maxLength) {
      const victim = this.#ticketToShed(ticket, nowMs);
      if (victim === ticket) return this.#queueFull(ticket);
      this.#removeTicket(victim);
      this.#shed.push(victim);
    }
    this.#addTicket(ticket);
    return undefined;
  }

  next(nowMs: number): AdmissionTicket | undefined {
    this.#advanceTo(nowMs);
    if (this.#waiting.size === 0) return undefined;
    this.#pickCount += 1;
    const picksOldest =
      this.#pickCount % this.#options.oldestPickInterval === 0;
    const ticket = picksOldest ? this.#oldest() : this.#best(nowMs);
    this.#removeTicket(ticket);
    this.#virtualTimes.charge(ticket);
    this.#serverCount.recordDispatch(
      workMsOf(ticket),
      nowMs - ticket.arrivedAtMs,
    );
    return ticket;
  }

  requeue(ticket: AdmissionTicket): void {
    this.#virtualTimes.refund(ticket);
    this.#serverCount.recordDispatch(
      -workMsOf(ticket),
      this.#nowMs - ticket.arrivedAtMs,
    );
    this.#addTicket(ticket);
  }

  remove(requestId: string): boolean {
    const ticket = this.#waiting.get(requestId);
    if (ticket) this.#removeTicket(ticket);
    return ticket !== undefined;
  }

  expired(nowMs: number): AdmissionTicket[] {
    const removed = this.#shed;
    this.#shed = [];
    for (const ticket of this.#waiting.values()) {
      if (nowMs >= ticket.queueDeadlineMs) removed.push(ticket);
    }
    for (const ticket of removed) this.remove(ticket.requestId);
    return removed;
  }

  #advanceTo(nowMs: number): void {
    this.#nowMs = nowMs;
    this.#serverCount.advance(nowMs, this.#waiting.size > 0);
  }

  #addTicket(ticket: AdmissionTicket): void {
    this.#waiting.set(ticket.requestId, ticket);
    this.#virtualTimes.join(ticket);
    this.#adjustCustomerCount(ticket.customer, 1);
  }

  #removeTicket(ticket: AdmissionTicket): void {
    this.#waiting.delete(ticket.requestId);
    this.#adjustCustomerCount(ticket.customer, -1);
    if (this.#waiting.size === 0) this.#virtualTimes.reset();
  }

  #adjustCustomerCount(customer: string, change: number): void {
    const count = (this.#waitingCountByCustomer.get(customer) ?? 0) + change;
    if (count > 0) this.#waitingCountByCustomer.set(customer, count);
    else this.#waitingCountByCustomer.delete(customer);
  }

  #oldest(): AdmissionTicket {
    let oldest: AdmissionTicket | undefined;
    for (const ticket of this.#waiting.values()) {
      if (!oldest || ticket.arrivedAtMs < oldest.arrivedAtMs) oldest = ticket;
    }
    return oldest!;
  }

  #best(nowMs: number): AdmissionTicket {
    const candidates = this.#topRankedTickets(nowMs);
    const leastTimeMs = Math.min(
      ...candidates.map((it) => this.#virtualTimes.virtualTimeOf(it)),
    );
    const maxTimeMs = leastTimeMs + this.#options.fairnessSlackMs;
    let best: AdmissionTicket | undefined;
    for (const ticket of candidates) {
      if (this.#virtualTimes.virtualTimeOf(ticket) > maxTimeMs) continue;
      if (!best || sortKeyMs(ticket) < sortKeyMs(best)) best = ticket;
    }
    return best!;
  }

  /**
   * The tickets of the highest non-empty rank: partly answered ones, then those
   * that can be in time, then all others.
   */
  #topRankedTickets(nowMs: number): AdmissionTicket[] {
    const waiting = [...this.#waiting.values()];
    const partlyAnswered = waiting.filter((it) => it.partlyAnswered);
    if (partlyAnswered.length > 0) return partlyAnswered;
    const inTime = waiting.filter((it) => !isLate(it, nowMs));
    if (inTime.length === 0) return waiting;
    return this.#selectServable(inTime, nowMs);
  }

  /** The tickets that can be in time together, or all of them if there are none. */
  #selectServable(
    tickets: AdmissionTicket[],
    nowMs: number,
  ): AdmissionTicket[] {
    tickets.sort((a, b) => sortKeyMs(a) - sortKeyMs(b));
    const selected = selectInTime(tickets, this.#serverCount.servers, nowMs);
    return selected.size > 0 ? [...selected] : tickets;
  }

  /** Returns the ticket to shed when the queue is full; it may be the offered one. */
  #ticketToShed(offered: AdmissionTicket, nowMs: number): AdmissionTicket {
    let victim = offered;
    for (const ticket of this.#waiting.values()) {
      if (this.#shedsBefore(ticket, victim, nowMs)) victim = ticket;
    }
    return victim;
  }

  #shedsBefore(a: AdmissionTicket, b: AdmissionTicket, nowMs: number): boolean {
    const [first, second] = [a, b].map((ticket) => [
      ticket.partlyAnswered ? 0 : 1,
      isLate(ticket, nowMs) ? 1 : 0,
      classRank(ticket.requestClass),
      this.#waitingCountByCustomer.get(ticket.customer) ?? 0,
      ticket.arrivedAtMs,
    ]);
    return compareKeys(first!, second!) > 0;
  }

  #queueFull(ticket: AdmissionTicket): NotRun {
    const waitMs = Math.max(100, Math.ceil(ticket.expectedServiceMs));
    return notRun(
      NotRunReason.QueueFull,
      "the queue is full; try again later or at another entry",
      waitMs,
    );
  }
}

/** Due time that tickets are sorted by, later for lower classes. */
function sortKeyMs(ticket: AdmissionTicket): number {
  return ticket.firstTokenDueMs + CLASS_DUE_TIME_OFFSET_MS[ticket.requestClass];
}

function compareKeys(a: readonly number[], b: readonly number[]): number {
  for (const [i, value] of a.entries()) {
    if (value !== b[i]) return value - b[i]!;
  }
  return 0;
}
