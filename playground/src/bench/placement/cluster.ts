/**
 * Runs a deployment in worker processes that talk HTTP over loopback: one with
 * the simulated engines, one with the sidecars and one for each entry.
 */
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import type { PolicyName } from "@sassafrascleat/routing";
import {
  createFaultProxy,
  type EngineStatsSnapshot,
  type FaultProxy,
  ProxyMode,
} from "@sassafrascleat/testing";
import { type ChildProcess, fork } from "node:child_process";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import { request } from "undici";
import {
  type Deployment,
  DEPLOYMENTS,
  type DeploymentShape,
} from "./deployment.ts";
import { poolOf } from "./entry_worker.ts";
import {
  WorkerRole,
  type WorkerStarted,
  type WorkerTask,
} from "./worker_messages.ts";

/** Options of a cluster. */
export interface ClusterOptions {
  deployment: Deployment;
  policy: PolicyName;
  seed: number;
}

/** Work counters of one engine. */
export type EngineCounters = Pick<
  EngineStatsSnapshot,
  | "prefillsRun"
  | "prefillTokens"
  | "wastedTokens"
  | "cachedTokens"
  | "decodesStarted"
  | "heldPieces"
>;

/** Returns what an engine did between two readings of its counters. */
function countersSince(
  before: EngineCounters,
  after: EngineCounters,
): EngineCounters {
  return {
    prefillsRun: after.prefillsRun - before.prefillsRun,
    prefillTokens: after.prefillTokens - before.prefillTokens,
    wastedTokens: after.wastedTokens - before.wastedTokens,
    cachedTokens: after.cachedTokens - before.cachedTokens,
    decodesStarted: after.decodesStarted - before.decodesStarted,
    heldPieces: after.heldPieces,
  };
}

/** A running deployment. */
export class Cluster {
  readonly backends: readonly BackendServer[];
  /**
   * Addresses of the proxies that add the caller latency in front of the
   * entries.
   */
  readonly callerAddresses: readonly string[];
  readonly #workers: readonly ChildProcess[];
  readonly #proxies: readonly FaultProxy[];
  #baseline: (EngineCounters | undefined)[] = [];

  constructor(
    backends: BackendServer[],
    workers: ChildProcess[],
    proxies: FaultProxy[],
  ) {
    this.backends = backends;
    this.#workers = workers;
    this.#proxies = proxies;
    this.callerAddresses = proxies.map((proxy) => proxy.address);
  }

  /** Takes the current counters as the baseline of `readCounters`. */
  async resetCounters(): Promise<void> {
    this.#baseline = await this.#fetchCounters();
  }

  /**
   * Returns what each engine did since `resetCounters`; omits engines that
   * don't respond.
   */
  async readCounters(): Promise<EngineCounters[]> {
    const after = await this.#fetchCounters();
    return after.flatMap((now, i) => {
      const before = this.#baseline[i];
      return now && before ? [countersSince(before, now)] : [];
    });
  }

  #fetchCounters(): Promise<(EngineCounters | undefined)[]> {
    return Promise.all(this.backends.map(async (backend) => {
      try {
        const res = await request(`${backend.engineAddress}/_books`);
        return await res.body.json() as EngineStatsSnapshot;
      } catch {
        return undefined;
      }
    }));
  }

  /** Crashes the last decode engine. */
  async killEngine(): Promise<void> {
    const victim = this.backends.at(-1)!;
    await request(`${victim.engineAddress}/_faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ dead: true }),
    });
  }

  async close(): Promise<void> {
    for (const worker of this.#workers) worker.disconnect();
    await Promise.all(this.#workers.map(waitForExit));
    await Promise.all(this.#proxies.map((proxy) => proxy.close()));
  }
}

/** Starts a deployment. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const { deployment, seed, policy } = options;
  const shape = DEPLOYMENTS[deployment];
  const workers: ChildProcess[] = [];
  const run = (task: WorkerTask) => startWorker(workers, task);
  const secret = randomUUID();
  const role = WorkerRole.Engines;
  let backends = createBackends(shape);
  const engines = await run({ role, deployment, backends, seed });
  backends = backends.map((it, i) => ({ ...it, engineAddress: engines[i]! }));
  const sidecars = await run({
    role: WorkerRole.Sidecars,
    deployment,
    backends,
    secret,
  });
  backends = backends.map((it, i) => ({ ...it, sidecarAddress: sidecars[i]! }));
  const entries = await Promise.all(
    Array.from({ length: shape.entries }, (_, i) =>
      run({
        role: WorkerRole.Entry,
        deployment,
        backends,
        secret,
        id: `entry-${i}`,
        availabilityZone: shape.zones[i % shape.zones.length]!,
        policy,
      })),
  );
  const proxies = await Promise.all(
    entries.flat().map((it) => callerProxy(it, shape.callerLatencyMs)),
  );
  return new Cluster(backends, workers, proxies);
}

/**
 * Lists prefill engines first; assigns the zones round-robin within each role.
 */
function createBackends(shape: DeploymentShape): BackendServer[] {
  const plan = (role: BackendRole, count: number): BackendServer[] =>
    Array.from({ length: count }, (_, i) => ({
      name: `${role}-${i}`,
      office: shape.office,
      availabilityZone: shape.zones[i % shape.zones.length]!,
      pool: poolOf(role),
      role,
      sidecarAddress: "http://unbound",
      engineAddress: "http://unbound",
      state: HostState.Live,
    }));
  return [
    ...plan(BackendRole.Prefill, shape.prefillEngines),
    ...plan(BackendRole.Decode, shape.decodeEngines),
  ];
}

async function callerProxy(
  address: string,
  latencyMs: number,
): Promise<FaultProxy> {
  const targetPort = Number(new URL(address).port);
  const proxy = await createFaultProxy({ targetPort });
  proxy.setMode(ProxyMode.Delay, latencyMs);
  return proxy;
}

async function startWorker(
  workers: ChildProcess[],
  task: WorkerTask,
): Promise<string[]> {
  const worker = fork(new URL("./worker.js", import.meta.url));
  workers.push(worker);
  worker.send(task);
  const failed = once(worker, "exit").then(() => undefined);
  const started = once(worker, "message").then(([it]) => it as WorkerStarted);
  const first = await Promise.race([started, failed]);
  if (!first) {
    throw new Error(
      `the ${task.role} worker exited before it reported its addresses`,
    );
  }
  return first.addresses;
}

async function waitForExit(worker: ChildProcess): Promise<void> {
  if (worker.exitCode === null) await once(worker, "exit");
}
