/** Runs one real entry of the bench with simulated latency to other zones. */
import {
  ChangeAction,
  type ChangeLog,
  ObjectKind,
  operationsForCreate,
  ProposeKind,
  ServiceKind,
} from "@sassafrascleat/config";
import { startEntryProcess } from "@sassafrascleat/daemon";
import {
  BackendRole,
  type BackendServer,
  RequestClass,
} from "@sassafrascleat/protocol";
import { invariant, Secret } from "@sassafrascleat/runtime";
import { createMemoryStore } from "@sassafrascleat/store";
import { createFaultProxy, ProxyMode } from "@sassafrascleat/testing";
import { createHash, randomUUID } from "node:crypto";
import { DEPLOYMENTS, type DeploymentShape } from "./deployment.ts";
import type { EntryTask } from "./worker_messages.ts";

/** Name of the bench's model, service and policy. */
export const BENCH_MODEL = "bench-model";

const REQUEST_TIMEOUT_MS = 60_000;
const HOST_REFRESH_MS = 1_000;
const DRAIN_TIMEOUT_MS = 1_000;

/** Name of the pool for backend servers of `role`. */
export function poolOf(role: BackendRole): string {
  return `bench-${role}`;
}

/** API key of a customer of the trace. */
export function apiKeyOf(customer: string): string {
  return `key-${customer}`;
}

/** Starts the entry and applies the bench's configuration. */
export async function startBenchEntry(task: EntryTask): Promise<string[]> {
  const shape = DEPLOYMENTS[task.deployment];
  const hosts = await Promise.all(
    task.backends.map((backend) => withZoneLatency(backend, task, shape)),
  );
  const entry = await startEntryProcess({
    id: task.id,
    office: shape.office,
    availabilityZone: task.availabilityZone,
    callers: { host: "127.0.0.1", port: 0 },
    system: { host: "127.0.0.1", port: 0 },
    operators: { host: "127.0.0.1", port: 0 },
    operatorSecrets: [],
    systemSecrets: [new Secret("bench", task.secret)],
    store: createMemoryStore(),
    hostSource: { list: () => Promise.resolve(hosts) },
    peers: [],
    hostRefreshMs: HOST_REFRESH_MS,
    subsetSize: hosts.length,
    placement: task.policy,
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
  });
  for (const [kind, object] of benchObjects(shape)) {
    await createObject(entry.changeLog, kind, object);
  }
  return [entry.addresses.callers ?? ""];
}

/** Puts a delaying proxy in front of a sidecar in another zone. */
async function withZoneLatency(
  backend: BackendServer,
  task: EntryTask,
  shape: DeploymentShape,
): Promise<BackendServer> {
  if (backend.availabilityZone === task.availabilityZone) return backend;
  const targetPort = Number(new URL(backend.sidecarAddress).port);
  const proxy = await createFaultProxy({ targetPort });
  proxy.setMode(ProxyMode.Delay, shape.zoneLatencyMs);
  return { ...backend, sidecarAddress: proxy.address };
}

type BenchObject = [ObjectKind, { name: string } & Record<string, unknown>];

function benchObjects(shape: DeploymentShape): BenchObject[] {
  const { office, workload } = shape;
  const policy = {
    name: BENCH_MODEL,
    objective: shape.objective,
    ttftTargetMs: shape.ttftTargetMs,
    tbtTargetMs: shape.tbtTargetMs,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
  };
  const pools = [BackendRole.Prefill, BackendRole.Decode].map((role) => ({
    name: poolOf(role),
    office,
    role,
  }));
  const service = {
    kind: ServiceKind.Model,
    name: BENCH_MODEL,
    office,
    model: BENCH_MODEL,
    prefillPool: poolOf(BackendRole.Prefill),
    decodePool: poolOf(BackendRole.Decode),
    policy: BENCH_MODEL,
  };
  const customers = Array.from({ length: workload.customers }, (_, i) => {
    const name = `customer-${i}`;
    const hash = createHash("sha256").update(apiKeyOf(name)).digest("hex");
    return {
      name,
      keySha256: [hash],
      maxClass: RequestClass.Interactive,
    };
  });
  return [
    [ObjectKind.Policy, policy],
    ...pools.map((it): BenchObject => [ObjectKind.Pool, it]),
    [ObjectKind.Service, service],
    ...customers.map((it): BenchObject => [ObjectKind.Customer, it]),
  ];
}

async function createObject(
  changeLog: ChangeLog,
  kind: ObjectKind,
  object: { name: string } & Record<string, unknown>,
): Promise<void> {
  const outcome = await changeLog.propose({
    patchId: randomUUID(),
    author: "bench",
    kind,
    name: object.name,
    action: ChangeAction.Create,
    baseVersion: 0,
    operations: operationsForCreate(object),
  }, AbortSignal.timeout(10_000));
  invariant(
    outcome.kind === ProposeKind.Accepted,
    `the bench's configuration was rejected: ${JSON.stringify(outcome)}`,
  );
}
