/**
 * Start-time fair queueing among the customers of a class. Each customer has a
 * virtual time, the service that it was given; who comes back after a pause
 * starts at the present virtual time of the class and cannot claim the past.
 */
import type { RequestClass } from "@sassafrascleat/protocol";
import type { AdmissionTicket } from "./admission.ts";

interface ClassTimes {
  /** Virtual time of the customer served last. */
  classTimeMs: number;
  customerTimesMs: Map<string, number>;
}

/** Virtual times by class and customer, in milliseconds of service. */
export class VirtualTimes {
  readonly #classes = new Map<RequestClass, ClassTimes>();

  /** Brings a customer up to the present when it starts to wait. */
  join(ticket: AdmissionTicket): void {
    const times = this.#timesOf(ticket.requestClass);
    const previousMs = times.customerTimesMs.get(ticket.customer) ?? 0;
    times.customerTimesMs.set(
      ticket.customer,
      Math.max(previousMs, times.classTimeMs),
    );
  }

  /** The virtual time of a ticket's customer. */
  virtualTimeOf(ticket: AdmissionTicket): number {
    const times = this.#timesOf(ticket.requestClass);
    return times.customerTimesMs.get(ticket.customer) ?? times.classTimeMs;
  }

  /** Counts a ticket's service to its customer. */
  charge(ticket: AdmissionTicket): void {
    const times = this.#timesOf(ticket.requestClass);
    const startMs = this.virtualTimeOf(ticket);
    times.classTimeMs = Math.max(times.classTimeMs, startMs);
    times.customerTimesMs.set(ticket.customer, startMs + costOf(ticket));
  }

  /** Takes a charge back, for a ticket that found no place. */
  refund(ticket: AdmissionTicket): void {
    const times = this.#timesOf(ticket.requestClass);
    const refundedMs = this.virtualTimeOf(ticket) - costOf(ticket);
    times.customerTimesMs.set(ticket.customer, Math.max(0, refundedMs));
  }

  /** Forgets everything; called when nobody waits. */
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

/** At least 1, so that a free request also moves its customer's time. */
function costOf(ticket: AdmissionTicket): number {
  return Math.max(1, ticket.expectedServiceMs);
}
