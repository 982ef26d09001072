/**
 * Decides by its API key whether a request may run, and as which customer's. The
 * answer depends on the active configuration alone: a key that a newer version no
 * longer lists is refused from the next request on.
 */
import type { CustomerDirective } from "../http/wire_codec.ts";
import type { ActiveConfig } from "./config_holder.ts";
import type { Customer, Route } from "./routing_table.ts";

/** What is known of the sender of a request that may run. */
export interface CustomerAccess {
  customer?: Customer;
  /** Sent to backend servers; absent if the configuration has no customers. */
  directive?: CustomerDirective;
}

/** Returns undefined if the route requires a key and `apiKey` is unknown. */
export function customerAccess(
  { customers }: Pick<ActiveConfig, "customers">,
  route: Pick<Route, "public">,
  apiKey: string | undefined,
): CustomerAccess | undefined {
  if (!customers) return {};
  const customer = apiKey === undefined ? undefined : customers.find(apiKey);
  if (!customer && !route.public) return undefined;
  return { customer, directive: { name: customer?.name } };
}
