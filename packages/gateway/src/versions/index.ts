/** Software versions of backend servers, and the streams that depend on them. */
export {
  type DefaultVersions,
  type RecordedVersion,
  RecordLookup,
  type VersionLog,
} from "./version_log.ts";
