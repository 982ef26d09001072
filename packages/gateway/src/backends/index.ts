/** What the gateway believes about backend servers. */
export {
  type Backend,
  BackendState,
  EngineStage,
  incarnationOf,
} from "./backend.ts";
export {
  BackendDirectory,
  DirectoryChange,
  type DirectoryOptions,
} from "./directory.ts";
