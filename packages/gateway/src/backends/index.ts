/** The backend servers that the gateway knows. */
export {
  type Backend,
  BackendState,
  EngineStage,
  incarnationOf,
  isOtherIncarnation,
} from "./backend.ts";
export {
  BackendDirectory,
  DirectoryChange,
  type DirectoryOptions,
} from "./directory.ts";
