/**
 * A worker process of the placement bench: runs simulated engines, sidecars or
 * one entry, as its first message requests, and exits with its parent.
 */
import { createHttpEngine } from "@sassafrascleat/engine";
import { BackendRole } from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";
import { createSidecar } from "@sassafrascleat/sidecar";
import { createEngineServer } from "@sassafrascleat/testing";
import { DEPLOYMENTS } from "./deployment.ts";
import { startBenchEntry } from "./entry_worker.ts";
import {
  type EnginesTask,
  type SidecarsTask,
  WorkerRole,
  type WorkerStarted,
  type WorkerTask,
} from "./worker_messages.ts";

async function startEngines(task: EnginesTask): Promise<string[]> {
  const { engine, zones, zoneLatencyMs } = DEPLOYMENTS[task.deployment];
  const servers = await Promise.all(
    task.backends.map((backend, i) => {
      const others = zones.filter((it) => it !== backend.availabilityZone);
      return createEngineServer({
        name: backend.name,
        availabilityZone: backend.availabilityZone,
        role: backend.role === BackendRole.Prefill
          ? BackendRole.Prefill
          : BackendRole.Decode,
        seed: task.seed + i,
        maxRunning: engine.slots,
        stepBaseMs: engine.stepBaseMs,
        stepPerRequestMs: engine.stepPerRequestMs,
        prefillRate: engine.prefillRate,
        resultLifetimeMs: engine.resultLifetimeMs,
        linkRate: engine.linkRate,
        zoneLatencyMs: Object.fromEntries(
          others.map((zone) => [zone, zoneLatencyMs]),
        ),
      });
    }),
  );
  return servers.map((server) => server.address);
}

async function startSidecars(task: SidecarsTask): Promise<string[]> {
  const { engine, tbtTargetMs } = DEPLOYMENTS[task.deployment];
  const secrets = [new Secret("bench", task.secret)];
  const sidecars = await Promise.all(
    task.backends.map((backendServer) =>
      createSidecar({
        backendServer,
        host: "127.0.0.1",
        secrets,
        engine: createHttpEngine({ baseUrl: backendServer.engineAddress }),
        tbtTargetMs,
        maxRunning: engine.slots,
      })
    ),
  );
  return sidecars.map((sidecar) => sidecar.address);
}

function start(task: WorkerTask): Promise<string[]> {
  switch (task.role) {
    case WorkerRole.Engines:
      return startEngines(task);
    case WorkerRole.Sidecars:
      return startSidecars(task);
    case WorkerRole.Entry:
      return startBenchEntry(task);
  }
}

process.once("message", async (task: WorkerTask) => {
  const started: WorkerStarted = { addresses: await start(task) };
  process.send?.(started);
});
process.once("disconnect", () => process.exit(0));
