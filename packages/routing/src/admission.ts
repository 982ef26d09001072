/** Interface of the admission queue, a bounded queue of requests that wait for placement. */
import type { NotRun, RequestClass } from "@sassafrascleat/protocol";

/** A request waiting for placement. Timestamps are from the clock of the entry process. */
export interface AdmissionTicket {
  requestId: string;
  customer: string;
  requestClass: RequestClass;
  arrivedAtMs: number;
  /** When the first token is due according to the target in the policy. */
  firstTokenDueMs: number;
  /** When the request is rejected unless it has been placed. */
  queueDeadlineMs: number;
  /** Estimated time from placement to the first token, in milliseconds. */
  expectedServiceMs: number;
  /** The part of it during which a server is occupied. @default expectedServiceMs */
  workMs?: number;
  /** The caller has received part of the answer: the ticket is placed first and never shed. */
  partlyAnswered?: boolean;
}

/** A queue that decides the order in which requests are placed. */
export interface AdmissionQueue {
  /** Adds a ticket; returns a `NotRun` if the ticket is rejected. */
  offer(ticket: AdmissionTicket, nowMs: number): NotRun | undefined;
  /** Removes and returns the ticket to place next; undefined when the queue is empty. */
  next(nowMs: number): AdmissionTicket | undefined;
  /** Returns a ticket that could not be placed to the queue; it keeps its arrival time. */
  requeue(ticket: AdmissionTicket): void;
  remove(requestId: string): boolean;
  /** Removes and returns the tickets that timed out, and those already shed for another ticket. */
  expired(nowMs: number): AdmissionTicket[];
  readonly size: number;
}
