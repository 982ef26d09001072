/** The customer of a request, as scheduling uses it. */
import type { CallerRequest } from "./run_context.ts";

/** Name of the customer that sent the request; undefined if it has none. */
export function customerOf({ customer }: CallerRequest): string | undefined {
  return customer?.name;
}

/** Whether the configuration that the request was routed with has customers. */
export function hasCustomers({ customerDirective }: CallerRequest): boolean {
  return customerDirective !== undefined;
}
