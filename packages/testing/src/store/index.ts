/** A simulation of the platform's object API and of its list of hosts. */
export { StoreCall, type StoreCounts } from "./call_counts.ts";
export { NO_FAULTS, type StoreFaults, StoreMode } from "./store_faults.ts";
export {
  createStoreServer,
  type StoreServer,
  type StoreServerOptions,
} from "./store_server.ts";
