/** Interfaces of engines and plain services, and their HTTP clients. */
export * from "./constants.ts";
export * from "./engine.ts";
export {
  createHttpEngine,
  type HttpEngine,
  type HttpEngineOptions,
  type ResolvedHttpEngineOptions,
  resolveHttpEngineOptions,
} from "./http_engine.ts";
export {
  CALL_ID_HEADER,
  createHttpPlainBackend,
  type HttpPlainOptions,
} from "./http_plain.ts";
export * from "./wire.ts";
