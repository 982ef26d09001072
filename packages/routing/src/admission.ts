/** The admission contract: a bounded queue that decides who is placed next. */
import type { NotRun, RequestClass } from "@sassafrascleat/protocol";

/** A request that waits to be placed. Times are of the entry's clock. */
export interface AdmissionTicket {
  requestId: string;
  customer: string;
  requestClass: RequestClass;
  arrivedAtMs: number;
  /** When the first token is due by the policy's target. */
  firstTokenDueMs: number;
  /** When the request is refused if it was not placed. */
  giveUpAtMs: number;
  /** Estimated time from placement to the first token, in milliseconds. */
  expectedServiceMs: number;
  /** The part of it during which a server is taken. @default expectedServiceMs */
  workMs?: number;
  /** The caller holds a part of the answer: placed first and never shed. */
  midAnswer?: boolean;
}

/** Decides the order of waiting requests. */
export interface AdmissionQueue {
  /** Adds a ticket; a `NotRun` refuses it. */
  offer(ticket: AdmissionTicket, nowMs: number): NotRun | undefined;
  /** Takes the ticket to place now; undefined when none waits. */
  next(nowMs: number): AdmissionTicket | undefined;
  /** Puts a ticket back that found no place; it keeps its age. */
  requeue(ticket: AdmissionTicket): void;
  remove(requestId: string): boolean;
  /** Takes out the tickets whose time is over or that were shed for another. */
  expired(nowMs: number): AdmissionTicket[];
  readonly size: number;
}
