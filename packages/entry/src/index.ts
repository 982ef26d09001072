/** The entry: HTTP APIs for callers and operators, request lifecycle and streams with resume. */
export { createEntry, type Entry } from "./entry.ts";
export type { EntryMetrics } from "./metrics.ts";
export type { EntryOptions, PlacementFactory } from "./options.ts";
export {
  createOperatorRoutes,
  type OperatorRouteOptions,
} from "./operator/index.ts";
