/**
 * Start-time fair queueing among the customers of a class. Each customer has a
 * virtual time, the service that it was given; who comes back after a pause
 * starts at the present virtual time of the class and cannot claim the past.
 */
import type { RequestClass } from "@sassafrascleat/protocol";
import type { AdmissionTicket } from "./admission.ts";

interface ClassTurns {
  /** Virtual time of the customer served last. */
  nowMs: number;
  customers: Map<string, number>;
}

/** Virtual times by class and customer, in milliseconds of service. */
export class FairTurns {
  readonly #classes = new Map<RequestClass, ClassTurns>();

  /** Brings a customer up to the present when it starts to wait. */
  join(ticket: AdmissionTicket): void {
    const turns = this.#turnsOf(ticket.requestClass);
    const time = turns.customers.get(ticket.customer) ?? 0;
    turns.customers.set(ticket.customer, Math.max(time, turns.nowMs));
  }

  /** The virtual time of a ticket's customer. */
  timeOf(ticket: AdmissionTicket): number {
    const turns = this.#turnsOf(ticket.requestClass);
    return turns.customers.get(ticket.customer) ?? turns.nowMs;
  }

  /** Counts a ticket's service to its customer. */
  charge(ticket: AdmissionTicket): void {
    const turns = this.#turnsOf(ticket.requestClass);
    const time = this.timeOf(ticket);
    turns.nowMs = Math.max(turns.nowMs, time);
    turns.customers.set(ticket.customer, time + costOf(ticket));
  }

  /** Takes a charge back, for a ticket that found no place. */
  refund(ticket: AdmissionTicket): void {
    const turns = this.#turnsOf(ticket.requestClass);
    const time = this.timeOf(ticket) - costOf(ticket);
    turns.customers.set(ticket.customer, Math.max(0, time));
  }

  /** Forgets everything; called when nobody waits. */
  reset(): void {
    this.#classes.clear();
  }

  #turnsOf(requestClass: RequestClass): ClassTurns {
    let turns = this.#classes.get(requestClass);
    if (!turns) {
      turns = { nowMs: 0, customers: new Map() };
      this.#classes.set(requestClass, turns);
    }
    return turns;
  }
}

/** At least 1, so that a free request also moves its customer's time. */
function costOf(ticket: AdmissionTicket): number {
  return Math.max(1, ticket.expectedServiceMs);
}
