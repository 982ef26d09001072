/** Software versions of backend servers, and the streams that depend on them. */
export { LocalVersionLog } from "./local_version_log.ts";
export { RETAIN_MS } from "./retention.ts";
export { type StreamRequest, StreamVersion } from "./stream_version.ts";
export {
  StreamVersions,
  type StreamVersionsOptions,
} from "./stream_versions.ts";
export {
  type DefaultVersions,
  type RecordedVersion,
  RecordLookup,
  type VersionLog,
} from "./version_log.ts";
