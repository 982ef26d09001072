/**
 * Test rig: a small deployment of real daemon processes, with stand-ins for
 * engines, plain services and the store in the test's process. It has two
 * entries, two prefill engines, two decode engines, two plain services, and a
 * proxy on every link.
 */
import {
  ChangeAction,
  type ChangeDocument,
  ObjectKind,
  ProposeKind,
} from "@sassafrascleat/config";
import {
  BackendRole,
  HostState,
  SIDECAR_RPC_PATH,
  type SidecarStatus,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { invariant, Secret } from "@sassafrascleat/runtime";
import { createStoreServer, type StoreServer } from "@sassafrascleat/testing";
import { randomUUID } from "node:crypto";
import { applyChange } from "../caller/operator_caller.ts";
import { until } from "../until.ts";
import {
  type BackendPlan,
  RigBackend,
  startRigBackend,
} from "./rig_backend.ts";
import { RigEntry, startRigEntry } from "./rig_entry.ts";

/** Names in the configuration of every rig. */
export const RIG_OFFICE = "carolinas";
export const RIG_MODEL = "grievance-summarizer";
export const RIG_PLAIN_SERVICE = "relief-swaps";

const ZONES = ["gastonia", "kannapolis"] as const;

const BACKENDS: BackendPlan[] = ZONES.flatMap((availabilityZone, index) => [
  {
    name: `prefill-${index}`,
    pool: "prefill",
    role: BackendRole.Prefill,
    availabilityZone,
  },
  {
    name: `decode-${index}`,
    pool: "decode",
    role: BackendRole.Decode,
    availabilityZone,
  },
  {
    name: `plain-${index}`,
    pool: "plain",
    role: BackendRole.Plain,
    availabilityZone,
  },
]);

/** Options of a rig. */
export interface RigOptions {
  /** Factor applied to the stand-in engines' durations. @default 1 */
  timeScale?: number;
  /** Duration of a plain call, in milliseconds. @default 20 */
  plainDelayMs?: number;
  /** Fields of the routing policy. @default {} */
  policy?: Record<string, unknown>;
}

/** Components of a rig. */
export interface RigParts {
  store: StoreServer;
  entries: [RigEntry, RigEntry];
  backends: readonly RigBackend[];
  operatorSecret: Secret;
  systemSecret: Secret;
}

/** A running rig. */
export class Rig {
  readonly store: StoreServer;
  readonly entries: [RigEntry, RigEntry];
  readonly backends: readonly RigBackend[];
  readonly operatorSecret: Secret;
  readonly #systemSecret: Secret;

  constructor(parts: RigParts) {
    this.store = parts.store;
    this.entries = parts.entries;
    this.backends = parts.backends;
    this.operatorSecret = parts.operatorSecret;
    this.#systemSecret = parts.systemSecret;
  }

  /** Returns the headers of a control call to a sidecar. */
  systemHeaders(): Record<string, string> {
    return {
      "content-type": "application/json",
      [SYSTEM_SECRET_HEADER]: this.#systemSecret.reveal(),
    };
  }

  /** Fetches a sidecar's status; undefined if its process is not running. */
  async sidecarStatus(backend: RigBackend): Promise<SidecarStatus | undefined> {
    if (!backend.process.running) return undefined;
    const url = `${backend.process.addresses.system}${SIDECAR_RPC_PATH}/status`;
    const res = await fetch(url, { headers: this.systemHeaders() });
    const body = await res.json() as { result: { data: SidecarStatus } };
    return body.result.data;
  }

  /** Whether a sidecar of this role has a reservation that has not started. */
  async isReserved(role: BackendRole): Promise<boolean> {
    for (const backend of this.byRole(role)) {
      const status = await this.sidecarStatus(backend);
      if (status && status.hint.reserved > 0) return true;
    }
    return false;
  }

  /** Waits until every entry has applied the rig's configuration. */
  async ready(): Promise<void> {
    for (const entry of this.entries) {
      const ready = await until(() => isReady(entry));
      invariant(ready, `${entry.id} did not receive the rig's configuration`);
    }
  }

  /** Returns the backend server with this name. */
  backend(name: string): RigBackend {
    const found = this.backends.find((backend) => backend.listed.name === name);
    invariant(found !== undefined, `the rig has no backend server ${name}`);
    return found;
  }

  byRole(role: BackendRole): RigBackend[] {
    return this.backends.filter((backend) => backend.listed.role === role);
  }

  /**
   * Publishes the host list, in which the named backend servers are leaving.
   */
  publishHosts(leaving: readonly string[] = [], lagMs = 0): void {
    const hosts = this.backends.map(({ listed }) => ({
      ...listed,
      state: leaving.includes(listed.name) ? HostState.Leaving : HostState.Live,
    }));
    this.store.setHosts(hosts, lagMs);
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.close()));
    await Promise.all(this.backends.map((backend) => backend.close()));
    await this.store.close();
  }
}

function createDocument(
  kind: ObjectKind,
  object: { name: string } & Record<string, unknown>,
): ChangeDocument {
  return { kind, action: ChangeAction.Create, object };
}

function rigConfiguration(policy: Record<string, unknown>): ChangeDocument[] {
  const pools = [BackendRole.Prefill, BackendRole.Decode, BackendRole.Plain];
  const common = { office: RIG_OFFICE, policy: "standard" };
  return [
    createDocument(ObjectKind.Policy, { name: "standard", ...policy }),
    ...pools.map((role) =>
      createDocument(ObjectKind.Pool, { name: role, office: RIG_OFFICE, role })
    ),
    createDocument(ObjectKind.Service, {
      ...common,
      kind: "model",
      name: "summarizer",
      model: RIG_MODEL,
      prefillPool: BackendRole.Prefill,
      decodePool: BackendRole.Decode,
    }),
    createDocument(ObjectKind.Service, {
      ...common,
      kind: "plain",
      name: RIG_PLAIN_SERVICE,
      pool: BackendRole.Plain,
      repeatable: [{ method: "GET", path: "/" }],
      timeoutMs: 5_000,
    }),
  ];
}

async function isReady(entry: RigEntry): Promise<boolean> {
  const res = await fetch(`${entry.address}/v1/models`).catch(() => undefined);
  const body = await res?.text().catch(() => "");
  return body?.includes(RIG_MODEL) ?? false;
}

async function applyConfiguration(rig: Rig, policy: Record<string, unknown>) {
  const target = {
    address: rig.entries[0].operatorsAddress,
    secret: rig.operatorSecret,
  };
  for (const change of rigConfiguration(policy)) {
    const reply = await applyChange(target, randomUUID(), change);
    invariant(
      reply.kind === ProposeKind.Accepted,
      `the rig's configuration was refused: ${JSON.stringify(reply)}`,
    );
  }
  await rig.ready();
}

/** Starts all processes and waits until the configuration is applied. */
export async function startRig(options: RigOptions = {}): Promise<Rig> {
  const store = await createStoreServer({});
  const operatorSecret = new Secret("rig-operator", randomUUID());
  const systemSecret = new Secret("rig", randomUUID());
  const env = {
    SYSTEM_SECRET: systemSecret.reveal(),
    OPERATOR_SECRET: operatorSecret.reveal(),
  };
  const ctx = {
    office: RIG_OFFICE,
    env,
    timeScale: options.timeScale ?? 1,
    plainDelayMs: options.plainDelayMs ?? 20,
  };
  const backends = await Promise.all(
    BACKENDS.map((plan) => startRigBackend(plan, ctx)),
  );
  store.setHosts(backends.map((backend) => backend.listed));
  const [first, second] = ZONES.map((availabilityZone, index) =>
    startRigEntry({
      id: `entry-${index}`,
      office: RIG_OFFICE,
      availabilityZone,
      storePort: store.port,
    }, env)
  ) as [Promise<RigEntry>, Promise<RigEntry>];
  const entries: [RigEntry, RigEntry] = [await first, await second];
  const parts = { store, entries, backends, operatorSecret, systemSecret };
  const rig = new Rig(parts);
  await applyConfiguration(rig, options.policy ?? {});
  return rig;
}
