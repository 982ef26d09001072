/** The `sidecar` role: the process beside one backend server. */
import { deadlineSignal } from "@sassafrascleat/runtime";
import {
  createHttpEngine,
  createHttpPlainBackend,
} from "@sassafrascleat/engine";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import { createSidecar, type Sidecar } from "@sassafrascleat/sidecar";
import { requireSecrets } from "./settings_error.ts";
import type { RunningDaemon } from "./running.ts";
import type { SidecarSettings } from "./settings.ts";

function toBackendServer(cfg: SidecarSettings): BackendServer {
  const { name, pool, role, baseUrl, engineAddress, advertise } =
    cfg.backendServer;
  return {
    name,
    pool,
    role,
    office: cfg.office,
    availabilityZone: cfg.availabilityZone,
    sidecarAddress: advertise ?? `http://${cfg.system.host}:${cfg.system.port}`,
    engineAddress: engineAddress ?? baseUrl,
    state: HostState.Live,
  };
}

class RunningSidecar implements RunningDaemon {
  readonly addresses: Record<string, string>;
  readonly #sidecar: Sidecar;
  readonly #drainTimeoutMs: number;

  constructor(sidecar: Sidecar, drainTimeoutMs: number) {
    this.#sidecar = sidecar;
    this.#drainTimeoutMs = drainTimeoutMs;
    this.addresses = { system: sidecar.address };
  }

  async drain(): Promise<void> {
    await this.#sidecar.drain(deadlineSignal(this.#drainTimeoutMs));
    await this.#sidecar.close();
  }

  close(): Promise<void> {
    return this.#sidecar.close();
  }
}

/** Starts the role; throws if a secret can't be read or the listener opened. */
export async function startSidecarRole(
  cfg: SidecarSettings,
): Promise<RunningDaemon> {
  const secrets = await requireSecrets(cfg.systemSecrets, "/systemSecrets");
  const { role, baseUrl } = cfg.backendServer;
  const isPlain = role === BackendRole.Plain;
  const sidecar = await createSidecar({
    backendServer: toBackendServer(cfg),
    host: cfg.system.host,
    port: cfg.system.port,
    secrets,
    engine: isPlain ? undefined : createHttpEngine({ baseUrl }),
    plain: isPlain ? createHttpPlainBackend({ baseUrl }) : undefined,
    maxRunning: cfg.maxRunning,
    tbtTargetMs: cfg.tbtTargetMs,
  });
  return new RunningSidecar(sidecar, cfg.drainTimeoutMs);
}
