/**
 * The `dev` role: a whole deployment in one process, with an in-memory store,
 * two offices of three availability zones, an entry in each zone, simulated
 * engines and plain services.
 */

import {
  ChangeAction,
  type ChangeLog,
  operationsForCreate,
  ProposeKind,
} from "@sassafrascleat/config";
import { PolicyName } from "@sassafrascleat/routing";
import {
  deadlineSignal,
  invariant,
  Secret,
  sleep,
} from "@sassafrascleat/runtime";
import { createMemoryStore, type MemoryStore } from "@sassafrascleat/store";
import { randomUUID } from "node:crypto";
import { type EntryProcess, startEntryProcess } from "../entry_process.ts";
import type { RunningDaemon } from "../running.ts";
import type { DevSettings } from "../settings.ts";
import {
  DEV_CONFIG_TIMEOUT_MS,
  DEV_DRAIN_TIMEOUT_MS,
  DEV_HOST,
  DEV_HOST_LIST_LAG_MS,
  DEV_HOST_REFRESH_MS,
  DEV_OPERATOR_NAME,
  DEV_OPERATOR_SECRET,
  DEV_POLL_MS,
} from "./constants.ts";
import { type DevBackend, startDevBackend } from "./dev_backend.ts";
import { DevHostList } from "./dev_hosts.ts";
import {
  type PlannedObject,
  type PlannedOffice,
  planOffices,
} from "./topology.ts";

/** One office of a running demo. */
export interface DevOffice {
  readonly plan: PlannedOffice;
  readonly entries: EntryProcess[];
  readonly backends: DevBackend[];
  readonly hostList: DevHostList;
}

/** A running demo. */
export interface DevDeployment extends RunningDaemon {
  readonly store: MemoryStore;
  readonly offices: DevOffice[];
  /** The secret that operators of the demo use. */
  readonly operatorSecret: Secret;
}

/** State shared by the processes of one demo. */
interface DevContext {
  store: MemoryStore;
  systemSecret: Secret;
  operatorSecret: Secret;
  nextPort: () => number;
  seed: number;
}

function createPortAllocator(basePort: number): () => number {
  let next = basePort;
  return () => (basePort === 0 ? 0 : next++);
}

function startEntries(
  plan: PlannedOffice,
  hostList: DevHostList,
  ctx: DevContext,
): Promise<EntryProcess[]> {
  const starts = plan.availabilityZones.map((availabilityZone) =>
    startEntryProcess({
      id: `entry-${availabilityZone}`,
      office: plan.office,
      availabilityZone,
      callers: { host: DEV_HOST, port: ctx.nextPort() },
      operators: { host: DEV_HOST, port: ctx.nextPort() },
      system: { host: DEV_HOST, port: 0 },
      operatorSecrets: [ctx.operatorSecret],
      systemSecrets: [ctx.systemSecret],
      store: ctx.store,
      hostSource: hostList,
      peers: [],
      hostRefreshMs: DEV_HOST_REFRESH_MS,
      subsetSize: plan.backends.length,
      placement: PolicyName.JustInTime,
      drainTimeoutMs: DEV_DRAIN_TIMEOUT_MS,
    })
  );
  return Promise.all(starts);
}

async function startOffice(
  plan: PlannedOffice,
  ctx: DevContext,
): Promise<DevOffice> {
  const backends = await Promise.all(
    plan.backends.map((backend, index) =>
      startDevBackend(backend, {
        office: plan.office,
        secret: ctx.systemSecret,
        seed: ctx.seed + index,
      })
    ),
  );
  const hostList = new DevHostList(DEV_HOST_LIST_LAG_MS);
  hostList.set(backends.map((backend) => backend.backendServer));
  const entries = await startEntries(plan, hostList, ctx);
  return { plan, entries, backends, hostList };
}

async function proposeObject(
  changeLog: ChangeLog,
  planned: PlannedObject,
  signal: AbortSignal,
): Promise<number> {
  const outcome = await changeLog.propose({
    patchId: randomUUID(),
    author: "dev",
    kind: planned.kind,
    name: planned.name,
    action: ChangeAction.Create,
    baseVersion: 0,
    operations: operationsForCreate(planned.object),
  }, signal);
  invariant(
    outcome.kind === ProposeKind.Accepted,
    `the demo's configuration was refused: ${JSON.stringify(outcome)}`,
  );
  return outcome.sequence;
}

/** Creates the demo's objects and waits until every entry has them in force. */
async function seedConfiguration(offices: DevOffice[]): Promise<void> {
  const signal = deadlineSignal(DEV_CONFIG_TIMEOUT_MS);
  let last = 0;
  for (const office of offices) {
    const first = office.entries[0];
    invariant(first !== undefined, "an office of the demo has no entry");
    for (const planned of office.plan.objects) {
      last = await proposeObject(first.changeLog, planned, signal);
    }
  }
  const entries = offices.flatMap((office) => office.entries);
  while (entries.some((entry) => entry.replica.sequence < last)) {
    invariant(!signal.aborted, "the demo's configuration was not relayed");
    await sleep(DEV_POLL_MS);
  }
}

class RunningDeployment implements DevDeployment {
  readonly store: MemoryStore;
  readonly offices: DevOffice[];
  readonly operatorSecret: Secret;
  readonly addresses: Record<string, string> = {};

  constructor(ctx: DevContext, offices: DevOffice[]) {
    this.store = ctx.store;
    this.operatorSecret = ctx.operatorSecret;
    this.offices = offices;
    for (const entry of offices.flatMap((office) => office.entries)) {
      const zone = entry.availabilityZone;
      this.addresses[`callers_${zone}`] = entry.addresses.callers ?? "";
      this.addresses[`operators_${zone}`] = entry.addresses.operators ?? "";
    }
  }

  async drain(): Promise<void> {
    const entries = this.offices.flatMap((office) => office.entries);
    await Promise.all(entries.map((entry) => entry.drain()));
    await this.#closeBackends();
  }

  async close(): Promise<void> {
    const entries = this.offices.flatMap((office) => office.entries);
    await Promise.all(entries.map((entry) => entry.close()));
    await this.#closeBackends();
  }

  async #closeBackends(): Promise<void> {
    const backends = this.offices.flatMap((office) => office.backends);
    await Promise.all(backends.map((backend) => backend.close()));
  }
}

/** Starts the demo's deployment with its configuration in force. */
export async function startDevDeployment(
  cfg: Pick<DevSettings, "basePort" | "seed">,
): Promise<DevDeployment> {
  const ctx: DevContext = {
    store: createMemoryStore(),
    systemSecret: new Secret("dev-system", randomUUID()),
    operatorSecret: new Secret(DEV_OPERATOR_NAME, DEV_OPERATOR_SECRET),
    nextPort: createPortAllocator(cfg.basePort),
    seed: cfg.seed,
  };
  const plans = planOffices();
  const offices = await Promise.all(
    plans.map((plan) => startOffice(plan, ctx)),
  );
  await seedConfiguration(offices);
  return new RunningDeployment(ctx, offices);
}

/** Starts the role. */
export function startDevRole(cfg: DevSettings): Promise<RunningDaemon> {
  return startDevDeployment(cfg);
}
