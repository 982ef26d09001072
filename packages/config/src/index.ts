/** Configuration objects, patches, the change log, snapshots and process settings. */
export * from "./change.ts";
export * from "./config_view.ts";
export * from "./objects.ts";
export * from "./replica_contract.ts";
