/** Entry process of a rig, with proxies towards its callers and the store. */
import { createFaultProxy, type FaultProxy } from "@sassafrascleat/testing";
import {
  type DaemonProcess,
  type SettingsDocument,
  startDaemonProcess,
} from "./daemon_process.ts";
import { findFixedPort } from "./fixed_port.ts";

/** Describes an entry to start. */
export interface EntryPlan {
  id: string;
  office: string;
  availabilityZone: string;
  /** Port of the stand-in store. */
  storePort: number;
}

/** A running entry under test. */
export class RigEntry {
  readonly id: string;
  /** Proxy between the entry and the store. */
  readonly storeProxy: FaultProxy;
  /** Proxy between callers and the entry. */
  readonly callerProxy: FaultProxy;
  readonly #settings: SettingsDocument;
  readonly #env: Record<string, string>;
  process: DaemonProcess;

  constructor(
    plan: EntryPlan,
    parts: {
      storeProxy: FaultProxy;
      callerProxy: FaultProxy;
      process: DaemonProcess;
    },
    settings: SettingsDocument,
    env: Record<string, string>,
  ) {
    this.id = plan.id;
    this.storeProxy = parts.storeProxy;
    this.callerProxy = parts.callerProxy;
    this.process = parts.process;
    this.#settings = settings;
    this.#env = env;
  }

  /** Address that callers use, through the proxy. */
  get address(): string {
    return this.callerProxy.address;
  }

  get operatorsAddress(): string {
    return this.process.addresses.operators ?? "";
  }

  /** Restarts the entry. */
  async restart(): Promise<void> {
    if (this.process.running) await this.process.kill();
    this.process = await startDaemonProcess(this.#settings, this.#env);
  }

  async close(): Promise<void> {
    this.process.resume();
    if (this.process.running) await this.process.kill();
    await this.callerProxy.close();
    await this.storeProxy.close();
  }
}

function entrySettings(
  plan: EntryPlan,
  storeUrl: string,
  ports: { callers: number; operators: number; system: number },
): SettingsDocument {
  return {
    role: "entry",
    id: plan.id,
    office: plan.office,
    availabilityZone: plan.availabilityZone,
    callers: { port: ports.callers },
    operators: { port: ports.operators },
    system: { port: ports.system },
    systemSecrets: [{ name: "rig", env: "SYSTEM_SECRET" }],
    operatorSecrets: [{ name: "rig-operator", env: "OPERATOR_SECRET" }],
    store: { baseUrl: storeUrl, timeoutMs: 500 },
    hostsBaseUrl: storeUrl,
    hostRefreshMs: 200,
  };
}

/** Starts the entry and its proxies; the entry keeps its ports on restart. */
export async function startRigEntry(
  plan: EntryPlan,
  env: Record<string, string>,
): Promise<RigEntry> {
  const storeProxy = await createFaultProxy({ targetPort: plan.storePort });
  const ports = {
    callers: await findFixedPort(),
    operators: await findFixedPort(),
    system: await findFixedPort(),
  };
  const settings = entrySettings(plan, storeProxy.address, ports);
  const process = await startDaemonProcess(settings, env);
  const callerProxy = await createFaultProxy({ targetPort: ports.callers });
  const parts = { storeProxy, callerProxy, process };
  return new RigEntry(plan, parts, settings, env);
}
