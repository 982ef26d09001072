/**
 * Start-time fair queueing among the customers of a request class. A customer's
 * virtual time is the service it has received. A customer that returns after an
 * idle period starts at the current virtual time of the class, so that it gains
 * no credit for the time in which it sent nothing.
 */
import type { RequestClass } from "@sassafrascleat/protocol";
import type { AdmissionTicket } from "./admission.ts";

interface ClassTimes {
  /** Highest virtual time at which a customer of the class was served. */
  classTimeMs: number;
  customerTimesMs: Map<string, number>;
}

/** Virtual times per class and customer, in milliseconds of service. */
export class VirtualTimes {
  readonly #classes = new Map<RequestClass, ClassTimes>();

  /** Advances a customer to the virtual time of the class when it enqueues a ticket. */
  join(ticket: AdmissionTicket): void {
    const times = this.#timesOf(ticket.requestClass);
    const previousMs = times.customerTimesMs.get(ticket.customer) ?? 0;
    times.customerTimesMs.set(
      ticket.customer,
      Math.max(previousMs, times.classTimeMs),
    );
  }

  /** Returns the virtual time of a ticket's customer. */
  virtualTimeOf(ticket: AdmissionTicket): number {
    const times = this.#timesOf(ticket.requestClass);
    return times.customerTimesMs.get(ticket.customer) ?? times.classTimeMs;
  }

  /** Adds the expected service of a ticket to its customer's virtual time. */
  charge(ticket: AdmissionTicket): void {
    const times = this.#timesOf(ticket.requestClass);
    const startMs = this.virtualTimeOf(ticket);
    times.classTimeMs = Math.max(times.classTimeMs, startMs);
    times.customerTimesMs.set(ticket.customer, startMs + costOf(ticket));
  }

  /** Reverts a charge, for a ticket that could not be placed. */
  refund(ticket: AdmissionTicket): void {
    const times = this.#timesOf(ticket.requestClass);
    const refundedMs = this.virtualTimeOf(ticket) - costOf(ticket);
    times.customerTimesMs.set(ticket.customer, Math.max(0, refundedMs));
  }

  /** Discards all virtual times; called when the queue is empty. */
  reset(): void {
    this.#classes.clear();
  }

  #timesOf(requestClass: RequestClass): ClassTimes {
    let times = this.#classes.get(requestClass);
    if (!times) {
      times = { classTimeMs: 0, customerTimesMs: new Map() };
      this.#classes.set(requestClass, times);
    }
    return times;
  }
}

/** Cost of a ticket; at least 1, so that a request expected to take no time still counts. */
function costOf(ticket: AdmissionTicket): number {
  return Math.max(1, ticket.expectedServiceMs);
}
