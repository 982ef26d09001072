/** The platform's object API: interface, HTTP client and in-memory store. */
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
export {
  putWithReadBack,
  type PutWithReadBackOptions,
} from "./put_with_read_back.ts";
