/** The daemon's settings and roles, for embedding and for tests. */
export { ExitCode } from "./constants.ts";
export { DEV_OPERATOR_SECRET } from "./dev/constants.ts";
export { type DevDeployment, startDevDeployment } from "./dev/dev_role.ts";
export { type EntryProcess, startEntryProcess } from "./entry_process.ts";
export type { EntryProcessOptions } from "./entry_process_options.ts";
export {
  formatIssue,
  type LoadedSettings,
  loadSettings,
  resolveSettings,
  type SettingsIssue,
} from "./load_settings.ts";
export type { RunningDaemon } from "./running.ts";
export {
  DaemonRole,
  type ResolvedSettings,
  settingsJsonSchema,
} from "./settings.ts";
export { startDaemon } from "./start.ts";
