/** Measures the tokens that one entry process streams per second of CPU time. */
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

/** Result of one load. */
export interface Throughput extends StreamLoad {
  tokensPerS: number;
  /**
   * Fraction of one core that the entry used, 0 to 1. It can slightly exceed 1,
   * since the CPU time covers all threads and has a resolution of 10 ms.
   */
  entryCores: number;
  tokensPerCpuS: number;
  /** Streams that ended before the measurement did; any makes it invalid. */
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

/**
 * Sends one request and tells whether a stand-in answered it, which shows that
 * the entry uses the new host list.
 */
async function standInsReachable(address: string): Promise<boolean> {
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

async function sumCounts(loads: readonly WorkerProcess[]): Promise<LoadCounts> {
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
  const before = await sumCounts(loads);
  const cpuBefore = readProcessCost(pid).cpuMs;
  const startMs = performance.now();
  await sleep(windowMs);
  const after = await sumCounts(loads);
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
    await until(() => standInsReachable(address));
    const streams = load.streams / LOAD_PROCESSES;
    const order: LoadOrder = { address, model: RIG_MODEL, streams };
    for (let i = 0; i < LOAD_PROCESSES; i++) {
      loads.push(new WorkerProcess("./load_worker.js"));
    }
    await Promise.all(loads.map((it) => it.call(order)));
    const started = await until(async () =>
      (await sumCounts(loads)).started === load.streams
    );
    if (!started) throw new Error("not all streams of the load have started");
    await Promise.all(standIns.map((it) => it.call(load.stepMs)));
    await sleep(SETTLE_MS);
    return { ...load, ...await measure(loads, pid, windowMs) };
  } finally {
    await Promise.all([...loads, ...standIns].map((it) => it.stop()));
  }
}
