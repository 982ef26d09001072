/**
 * `npm run bench -- overhead [--pairs 300] [--window-ms 5000]`: measures the
 * latency that the router adds to the first token, the tokens that an entry
 * streams per second of CPU time, and the memory of idle daemons.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import { parseArgs } from "node:util";
import { type Rig, startRig } from "../../rig/rig.ts";
import { roundToSignificantDigits } from "../measure/fit.ts";
import { readProcessCost } from "../measure/process_cost.ts";
import { measureLatency } from "./latency.ts";
import {
  FULL_LOAD,
  type OverheadOptions,
  PLANNED_LOAD,
  TIME_SCALE,
} from "./options.ts";
import { measureThroughput } from "./throughput.ts";

/** Time for an idle process to settle before memory is read, in milliseconds. */
const IDLE_MS = 3_000;

const NO_LIMIT = { requestsPerSecond: 1e6, burst: 1_000_000 };

/** Lists the sidecars' real addresses, so entries bypass the rig's proxies. */
function listWithoutProxies(rig: Rig): void {
  rig.store.setHosts(rig.backends.map((backend) => ({
    ...backend.listed,
    sidecarAddress: backend.process.addresses.system ?? "",
  })));
}

/** Resident memory of idle daemons, in megabytes. */
async function measureMemory(rig: Rig) {
  await sleep(IDLE_MS);
  const prefill = rig.byRole(BackendRole.Prefill)[0]!;
  const decode = rig.byRole(BackendRole.Decode)[0]!;
  const plain = rig.byRole(BackendRole.Plain)[0]!;
  return {
    entryMb: readProcessCost(rig.entries[1].process.pid).rssMb,
    prefillSidecarMb: readProcessCost(prefill.process.pid).rssMb,
    decodeSidecarMb: readProcessCost(decode.process.pid).rssMb,
    plainSidecarMb: readProcessCost(plain.process.pid).rssMb,
  };
}

async function run(options: OverheadOptions) {
  const limit = { ...NO_LIMIT };
  const rig = await startRig({ timeScale: TIME_SCALE, policy: { limit } });
  try {
    const idleMemory = await measureMemory(rig);
    listWithoutProxies(rig);
    const firstTokenMs = options.pairs > 0
      ? await measureLatency(rig, options.pairs)
      : undefined;
    const { windowMs } = options;
    const planned = await measureThroughput(rig, PLANNED_LOAD, windowMs);
    const full = await measureThroughput(rig, FULL_LOAD, windowMs);
    return { idleMemory, firstTokenMs, streams: { planned, full } };
  } finally {
    await rig.close();
  }
}

/**
 * Runs the benchmark and prints one line of JSON; returns 1 if a stream ended
 * before its measurement did.
 */
export async function main(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      pairs: { type: "string", default: "300" },
      "window-ms": { type: "string", default: "5000" },
    },
  });
  const options = {
    pairs: Number(values.pairs),
    windowMs: Number(values["window-ms"]),
  };
  const figures = await run(options);
  const round = (_key: string, value: unknown) =>
    typeof value === "number" ? roundToSignificantDigits(value) : value;
  const line = { bench: "overhead", ...options, ...figures };
  console.log(JSON.stringify(line, round));
  const { planned, full } = figures.streams;
  return planned.endedEarly + full.endedEarly === 0 ? 0 : 1;
}
