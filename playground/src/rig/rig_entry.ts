/** One entry process of a rig, with proxies before it and towards the store. */
import { createFaultProxy, type FaultProxy } from "@sassafrascleat/testing";
import {
  type DaemonProcess,
  type SettingsDocument,
  startDaemonProcess,
} from "./daemon_process.ts";
import { fixedPort } from "./fixed_port.ts";

/** The plan of one entry. */
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
  /** Between the entry and the store. */
  readonly storeProxy: FaultProxy;
  /** Between callers and the entry. */
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

  /** Starts the entry again after a kill. */
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

/** Starts the entry and its proxies; a restart keeps all ports. */
export async function startRigEntry(
  plan: EntryPlan,
  env: Record<string, string>,
): Promise<RigEntry> {
  const storeProxy = await createFaultProxy({ targetPort: plan.storePort });
  const ports = {
    callers: await fixedPort(),
    operators: await fixedPort(),
    system: await fixedPort(),
  };
  const settings = entrySettings(plan, storeProxy.address, ports);
  const process = await startDaemonProcess(settings, env);
  const callerProxy = await createFaultProxy({ targetPort: ports.callers });
  const parts = { storeProxy, callerProxy, process };
  return new RigEntry(plan, parts, settings, env);
}
