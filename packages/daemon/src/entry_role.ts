/** The `entry` role: an entry process configured by the settings file. */
import { createHttpHostSource } from "@sassafrascleat/membership";
import { invariant, type Secret } from "@sassafrascleat/runtime";
import { createHttpStore } from "@sassafrascleat/store";
import { type EntryProcess, startEntryProcess } from "./entry_process.ts";
import { requireSecrets } from "./settings_error.ts";
import type { EntrySettings } from "./settings.ts";

/** Narrows the type of a list that the settings schema requires to be non-empty. */
export function nonEmptySecrets(secrets: Secret[]): [Secret, ...Secret[]] {
  const [first, ...rest] = secrets;
  invariant(
    first !== undefined,
    "the settings schema accepted an empty list of secrets",
  );
  return [first, ...rest];
}

/** Starts the role; throws if a secret can't be read or a listener opened. */
export async function startEntryRole(
  cfg: EntrySettings,
): Promise<EntryProcess> {
  const systemSecrets = await requireSecrets(
    cfg.systemSecrets,
    "/systemSecrets",
  );
  const operatorSecrets = await requireSecrets(
    cfg.operatorSecrets,
    "/operatorSecrets",
  );
  const { baseUrl, timeoutMs } = cfg.store;
  return startEntryProcess({
    id: cfg.id,
    office: cfg.office,
    availabilityZone: cfg.availabilityZone,
    callers: cfg.callers,
    operators: cfg.operators,
    system: cfg.system,
    operatorSecrets,
    systemSecrets: nonEmptySecrets(systemSecrets),
    store: createHttpStore({ baseUrl, timeoutMs }),
    hostSource: createHttpHostSource({ baseUrl: cfg.hostsBaseUrl }),
    peers: cfg.peers.map(({ id, ...peer }) => ({ daemonId: id, ...peer })),
    hostRefreshMs: cfg.hostRefreshMs,
    subsetSize: cfg.subsetSize,
    placement: cfg.placement,
    drainTimeoutMs: cfg.drainTimeoutMs,
  });
}
