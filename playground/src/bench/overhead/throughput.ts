/** Tokens that one entry process streams for each second of its processor time. */
import { BackendRole, HostState } from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import { callModel } from "../../caller/model_caller.ts";
import { type Rig, RIG_MODEL, RIG_OFFICE } from "../../rig/rig.ts";
import { until } from "../../until.ts";
import { readProcessCost } from "../measure/process_cost.ts";
import type { LoadCounts, LoadOrder } from "./load_worker.ts";
import {
  LOAD_PROCESSES,
  SETTLE_MS,
  STAND_IN_PROCESSES,
  START_STEP_MS,
  type StreamLoad,
  TOKEN_MARK,
} from "./options.ts";
import { WorkerProcess } from "./worker_process.ts";

/** What one load came to. */
export interface Throughput extends StreamLoad {
  tokensPerS: number;
  /** Share of one core that the entry used, 0 to 1. */
  entryCores: number;
  tokensPerCpuS: number;
  /** Streams that ended before the measurement did; their loss spoils it. */
  endedEarly: number;
}

async function startStandIns(rig: Rig) {
  const workers = Array.from(
    { length: STAND_IN_PROCESSES },
    () => new WorkerProcess("./sidecar_worker.js"),
  );
  const addresses = await Promise.all(
    workers.map((worker) => worker.call<string>(START_STEP_MS)),
  );
  const common = {
    office: RIG_OFFICE,
    availabilityZone: "gastonia",
    engineAddress: "http://127.0.0.1:1",
    state: HostState.Live,
  };
  const roles = [BackendRole.Prefill, BackendRole.Decode];
  rig.store.setHosts(
    addresses.flatMap((sidecarAddress, index) =>
      roles.map((role) => ({
        ...common,
        name: `stand-in-${role}-${index}`,
        pool: role,
        role,
        sidecarAddress,
      }))
    ),
  );
  return workers;
}

/** Waits until a stand-in answers a request, so that the list is in use. */
async function standInsAnswer(address: string): Promise<boolean> {
  const signal = AbortSignal.timeout(1_000);
  let answered = false;
  await callModel({
    address,
    model: RIG_MODEL,
    prompt: `probe ${Math.random()}`,
    maxTokens: 2,
    stream: false,
    signal,
  }).then((answer) => answered = answer.text.includes(TOKEN_MARK))
    .catch(() => {});
  return answered;
}

async function countAll(loads: readonly WorkerProcess[]): Promise<LoadCounts> {
  const all = await Promise.all(
    loads.map((load) => load.call<LoadCounts>("counts")),
  );
  return {
    tokens: all.reduce((sum, it) => sum + it.tokens, 0),
    started: all.reduce((sum, it) => sum + it.started, 0),
    ended: all.reduce((sum, it) => sum + it.ended, 0),
  };
}

async function measure(
  loads: readonly WorkerProcess[],
  pid: number,
  windowMs: number,
) {
  const before = await countAll(loads);
  const cpuBefore = readProcessCost(pid).cpuMs;
  const startMs = performance.now();
  await sleep(windowMs);
  const after = await countAll(loads);
  const cpuMs = readProcessCost(pid).cpuMs - cpuBefore;
  const elapsedMs = performance.now() - startMs;
  const tokens = after.tokens - before.tokens;
  return {
    tokensPerS: tokens * 1_000 / elapsedMs,
    entryCores: cpuMs / elapsedMs,
    tokensPerCpuS: tokens * 1_000 / cpuMs,
    endedEarly: after.ended,
  };
}

/** Streams one load through the rig's first entry. */
export async function measureThroughput(
  rig: Rig,
  load: StreamLoad,
  windowMs: number,
): Promise<Throughput> {
  const { pid, addresses } = rig.entries[0].process;
  const address = addresses.callers ?? "";
  const standIns = await startStandIns(rig);
  const loads: WorkerProcess[] = [];
  try {
    await until(() => standInsAnswer(address));
    const streams = load.streams / LOAD_PROCESSES;
    const order: LoadOrder = { address, model: RIG_MODEL, streams };
    for (let i = 0; i < LOAD_PROCESSES; i++) {
      loads.push(new WorkerProcess("./load_worker.js"));
    }
    await Promise.all(loads.map((it) => it.call(order)));
    const started = await until(async () =>
      (await countAll(loads)).started === load.streams
    );
    if (!started) throw new Error("not every stream of the load has started");
    await Promise.all(standIns.map((it) => it.call(load.stepMs)));
    await sleep(SETTLE_MS);
    return { ...load, ...await measure(loads, pid, windowMs) };
  } finally {
    await Promise.all([...loads, ...standIns].map((it) => it.stop()));
  }
}
