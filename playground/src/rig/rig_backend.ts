/**
 * Backend server of a rig: a stand-in, a sidecar process, and a proxy for it.
 */
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import {
  createEngineServer,
  createFaultProxy,
  createPlainServer,
  type EngineServer,
  type FaultProxy,
  type PlainServer,
} from "@sassafrascleat/testing";
import {
  type DaemonProcess,
  type SettingsDocument,
  startDaemonProcess,
} from "./daemon_process.ts";
import { findFixedPort } from "./fixed_port.ts";

/** Describes a backend server to start. */
export interface BackendPlan {
  name: string;
  pool: string;
  role: BackendRole;
  availabilityZone: string;
}

/** Options that all backend servers of a rig share. */
export interface BackendContext {
  office: string;
  env: Record<string, string>;
  /** Factor applied to the stand-in engines' durations. */
  timeScale: number;
  /** Duration of a plain call, in milliseconds. */
  plainDelayMs: number;
}

/** A running backend server under test. */
export class RigBackend {
  readonly listed: BackendServer;
  readonly proxy: FaultProxy;
  readonly engine?: EngineServer;
  readonly plain?: PlainServer;
  readonly #settings: SettingsDocument;
  readonly #env: Record<string, string>;
  process: DaemonProcess;

  constructor(
    listed: BackendServer,
    parts: StandInParts & { proxy: FaultProxy; process: DaemonProcess },
    settings: SettingsDocument,
    env: Record<string, string>,
  ) {
    this.listed = listed;
    this.proxy = parts.proxy;
    this.engine = parts.engine;
    this.plain = parts.plain;
    this.process = parts.process;
    this.#settings = settings;
    this.#env = env;
  }

  /** Restarts the sidecar, which then has a new incarnation. */
  async restart(): Promise<void> {
    if (this.process.running) await this.process.kill();
    this.process = await startDaemonProcess(this.#settings, this.#env);
  }

  async close(): Promise<void> {
    this.process.resume();
    if (this.process.running) await this.process.kill();
    await this.proxy.close();
    await Promise.all([this.engine?.close(), this.plain?.close()]);
  }
}

interface StandInParts {
  address: string;
  engine?: EngineServer;
  plain?: PlainServer;
}

async function startStandIn(
  plan: BackendPlan,
  ctx: BackendContext,
): Promise<StandInParts> {
  if (plan.role === BackendRole.Plain) {
    const plain = await createPlainServer({ delayMs: ctx.plainDelayMs });
    return { address: plain.address, plain };
  }
  const engine = await createEngineServer({
    name: plan.name,
    availabilityZone: plan.availabilityZone,
    role: plan.role,
    timeScale: ctx.timeScale,
  });
  return { address: engine.address, engine };
}

function sidecarSettings(
  plan: BackendPlan,
  ctx: BackendContext,
  baseUrl: string,
  port: number,
): SettingsDocument {
  return {
    role: "sidecar",
    id: `sidecar-${plan.name}`,
    office: ctx.office,
    availabilityZone: plan.availabilityZone,
    system: { port },
    systemSecrets: [{ name: "rig", env: "SYSTEM_SECRET" }],
    backendServer: {
      name: plan.name,
      pool: plan.pool,
      role: plan.role,
      baseUrl,
    },
  };
}

/** Starts a stand-in, its sidecar process, and the proxy before the sidecar. */
export async function startRigBackend(
  plan: BackendPlan,
  ctx: BackendContext,
): Promise<RigBackend> {
  const standIn = await startStandIn(plan, ctx);
  const targetPort = await findFixedPort();
  const settings = sidecarSettings(plan, ctx, standIn.address, targetPort);
  const process = await startDaemonProcess(settings, ctx.env);
  const proxy = await createFaultProxy({ targetPort });
  const listed = {
    ...plan,
    office: ctx.office,
    sidecarAddress: proxy.address,
    engineAddress: standIn.address,
    state: HostState.Live,
  };
  const parts = { ...standIn, proxy, process };
  return new RigBackend(listed, parts, settings, ctx.env);
}
