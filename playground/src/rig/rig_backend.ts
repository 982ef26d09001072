/** One backend server of a rig: stand-in, sidecar process and proxy between. */
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
import { fixedPort } from "./fixed_port.ts";

/** The plan of one backend server. */
export interface BackendPlan {
  name: string;
  pool: string;
  role: BackendRole;
  availabilityZone: string;
}

/** What all backend servers of a rig share. */
export interface BackendContext {
  office: string;
  env: Record<string, string>;
  /** Factor on the stand-in engines' durations. */
  timeScale: number;
  /** Time that a plain call takes, in milliseconds. */
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

  /** Starts the sidecar again after a kill; it has a new incarnation. */
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

/** Starts stand-in, sidecar process and proxy. */
export async function startRigBackend(
  plan: BackendPlan,
  ctx: BackendContext,
): Promise<RigBackend> {
  const standIn = await startStandIn(plan, ctx);
  const targetPort = await fixedPort();
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
