/** The platform object API behind one narrow interface, over HTTP or in memory. */
export {
  type HttpStoreOptions,
  type ResolvedHttpStoreOptions,
  resolveHttpStoreOptions,
} from "./http_options.ts";
export { createHttpStore, HttpStore } from "./http_store.ts";
export {
  createMemoryStore,
  MemoryStore,
  type MemoryStoreOptions,
} from "./memory_store.ts";
export * from "./object_store.ts";
export { putResolved, type PutResolvedOptions } from "./put_resolved.ts";
