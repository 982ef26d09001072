/** Starts the role that the settings name. */
import type { RunningDaemon } from "./running.ts";
import { DaemonRole, type ResolvedSettings } from "./settings.ts";

export { SettingsError } from "./settings_error.ts";

/**
 * Starts a daemon. Each role's code is loaded on demand, so that a sidecar
 * process does not load modules that only an entry needs.
 */
export async function startDaemon(
  settings: ResolvedSettings,
): Promise<RunningDaemon> {
  switch (settings.role) {
    case DaemonRole.Entry: {
      const { startEntryRole } = await import("./entry_role.ts");
      return startEntryRole(settings);
    }
    case DaemonRole.Sidecar: {
      const { startSidecarRole } = await import("./sidecar_role.ts");
      return startSidecarRole(settings);
    }
    case DaemonRole.Dev: {
      const { startDevRole } = await import("./dev/dev_role.ts");
      return startDevRole(settings);
    }
  }
}
