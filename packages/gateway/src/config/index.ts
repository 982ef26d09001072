/** The configuration in force and how requests find their route. */
export { ConfigHolder, type ConfigInForce } from "./config_holder.ts";
export { hostOf, pathOf, pickService, RouteIndex } from "./route_index.ts";
export * from "./routing_table.ts";
