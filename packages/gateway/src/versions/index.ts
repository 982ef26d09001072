/** Software versions of backend servers, and the streams that depend on them. */
export { LocalVersionLog } from "./local_version_log.ts";
export { StreamVersions } from "./stream_versions.ts";
export {
  type DefaultVersions,
  type RecordedVersion,
  RecordLookup,
  type VersionLog,
} from "./version_log.ts";
