/** The active configuration and the matching of requests to routes. */
export { type ActiveConfig, ConfigHolder } from "./config_holder.ts";
export { type CustomerAccess, customerAccess } from "./customer_access.ts";
export { CustomerIndex } from "./customer_index.ts";
export { PriorityLevels } from "./priority_levels.ts";
export { hostOf, pathOf, pickService, RouteIndex } from "./route_index.ts";
export * from "./routing_table.ts";
