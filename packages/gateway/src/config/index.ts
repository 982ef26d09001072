/** The active configuration and the matching of requests to routes. */
export { type ActiveConfig, ConfigHolder } from "./config_holder.ts";
export { hostOf, pathOf, pickService, RouteIndex } from "./route_index.ts";
export * from "./routing_table.ts";
