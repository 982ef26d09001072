/** One backend server of the demo: a simulated server and its sidecar. */
import {
  createHttpEngine,
  createHttpPlainBackend,
} from "@sassafrascleat/engine";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import type { Secret } from "@sassafrascleat/runtime";
import { createSidecar, type Sidecar } from "@sassafrascleat/sidecar";
import {
  createEngineServer,
  createPlainServer,
  type EngineServer,
  type PlainServer,
} from "@sassafrascleat/testing";
import { DEV_HOST } from "./constants.ts";
import type { PlannedBackend } from "./topology.ts";

/** Options of a backend server in addition to its plan. */
export interface DevBackendOptions {
  office: string;
  secret: Secret;
  seed: number;
}

/** A running backend server with its sidecar. */
export interface DevBackend {
  readonly backendServer: BackendServer;
  readonly sidecar: Sidecar;
  /** Set for model engines. */
  readonly engine?: EngineServer;
  /** Set for plain services. */
  readonly plain?: PlainServer;
  close(): Promise<void>;
}

interface SimulatedBackend {
  address: string;
  engine?: EngineServer;
  plain?: PlainServer;
}

async function startSimulatedBackend(
  plan: PlannedBackend,
  seed: number,
): Promise<SimulatedBackend> {
  if (plan.role === BackendRole.Plain) {
    const plain = await createPlainServer({ delayMs: 5 });
    return { address: plain.address, plain };
  }
  const engine = await createEngineServer({
    name: plan.name,
    availabilityZone: plan.availabilityZone,
    role: plan.role,
    seed,
  });
  return { address: engine.address, engine };
}

function toBackendServer(
  plan: PlannedBackend,
  office: string,
  address: string,
): BackendServer {
  return {
    ...plan,
    office,
    sidecarAddress: "http://unbound",
    engineAddress: address,
    state: HostState.Live,
  };
}

/** Starts a simulated backend server and its sidecar on free ports. */
export async function startDevBackend(
  plan: PlannedBackend,
  options: DevBackendOptions,
): Promise<DevBackend> {
  const { address, engine, plain } = await startSimulatedBackend(
    plan,
    options.seed,
  );
  const backendServer = toBackendServer(plan, options.office, address);
  const sidecar = await createSidecar({
    backendServer,
    host: DEV_HOST,
    secrets: [options.secret],
    engine: engine && createHttpEngine({ baseUrl: address }),
    plain: plain && createHttpPlainBackend({ baseUrl: address }),
  });
  return {
    backendServer: { ...backendServer, sidecarAddress: sidecar.address },
    sidecar,
    engine,
    plain,
    close: async () => {
      await sidecar.close();
      await Promise.all([engine?.close(), plain?.close()]);
    },
  };
}
