/**
 * CPU time that daemon processes spend per request, per output token and per
 * thousand prompt tokens. Three loads with different proportions of these give
 * three linear equations, which are solved for the three costs.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { callModel } from "../../caller/model_caller.ts";
import { type Rig, RIG_MODEL, startRig } from "../../rig/rig.ts";
import { solveLinear } from "../measure/linear.ts";
import { readProcessCost } from "../measure/process_cost.ts";
import { sleep } from "@sassafrascleat/runtime";

/**
 * Factor on the durations of the stand-in engines. With a much smaller factor,
 * prefill results expire before the next process is scheduled.
 */
const TIME_SCALE = 0.25;
const CHARS_PER_KTOKEN = 4_000;
const IDLE_MS = 5_000;

const NO_LIMIT = { requestsPerSecond: 1e6, burst: 1_000_000 };

interface Load {
  requests: number;
  maxTokens: number;
  promptKtokens: number;
  /** Number of concurrent requests. */
  concurrent: number;
}

const WARM_UP: Load = {
  requests: 300,
  maxTokens: 32,
  promptKtokens: 0.05,
  concurrent: 24,
};
const LOADS: Load[] = [
  { requests: 400, maxTokens: 4, promptKtokens: 0.05, concurrent: 24 },
  { requests: 96, maxTokens: 256, promptKtokens: 0.05, concurrent: 24 },
  { requests: 96, maxTokens: 4, promptKtokens: 12, concurrent: 6 },
];

/** Costs of one role, summed over its processes unless stated otherwise. */
export interface RoleCost {
  cpuMsPerRequest: number;
  cpuUsPerToken: number;
  cpuMsPerPromptKtoken: number;
  /** CPU time of one process without requests, in milliseconds per second. */
  idleCpuMsPerS: number;
  /** Mean resident memory of one process after the loads. */
  rssMb: number;
  /** Mean resident memory of one process before the loads. */
  idleRssMb: number;
}

/** Costs of the request path, and how many requests did not finish. */
export interface RequestPathCost {
  entry: RoleCost;
  prefill: RoleCost;
  decode: RoleCost;
  requests: number;
  unfinished: number;
  /** Unfinished requests by status and outcome. */
  unfinishedBy: Record<string, number>;
}

type Role = "entry" | "prefill" | "decode";
const ROLES: Role[] = ["entry", "prefill", "decode"];

interface LoadResult {
  coefficients: number[];
  cpuMs: Record<Role, number>;
  elapsedMs: number;
  requests: number;
  unfinished: string[];
}

function pidsOf(rig: Rig, role: Role): number[] {
  if (role === "entry") return rig.entries.map((entry) => entry.process.pid);
  const backendRole = role === "prefill"
    ? BackendRole.Prefill
    : BackendRole.Decode;
  return rig.byRole(backendRole).map((backend) => backend.process.pid);
}

function sumCost(rig: Rig, role: Role, field: "cpuMs" | "rssMb"): number {
  return pidsOf(rig, role)
    .reduce((sum, pid) => sum + readProcessCost(pid)[field], 0);
}

function cpuByRole(rig: Rig): Record<Role, number> {
  return {
    entry: sumCost(rig, "entry", "cpuMs"),
    prefill: sumCost(rig, "prefill", "cpuMs"),
    decode: sumCost(rig, "decode", "cpuMs"),
  };
}

/** Sends one load through all entries and counts tokens and failed requests. */
async function runLoad(rig: Rig, load: Load): Promise<LoadResult> {
  const before = cpuByRole(rig);
  const startedAtMs = performance.now();
  let next = 0;
  let tokens = 0;
  const unfinished: string[] = [];
  const lane = async () => {
    while (next < load.requests) {
      const index = next++;
      const entry = rig.entries[index % rig.entries.length]!;
      const filler = "x".repeat(load.promptKtokens * CHARS_PER_KTOKEN);
      const answer = await callModel({
        address: entry.process.addresses.callers ?? "",
        model: RIG_MODEL,
        prompt: `${load.maxTokens}-${index}-${filler}`,
        maxTokens: load.maxTokens,
        stream: true,
      });
      if (!answer.finished) {
        unfinished.push(`${answer.status} ${answer.outcome ?? "cut"}`);
      }
      if (answer.ttftMs !== undefined) tokens += 1 + answer.gapsMs.length;
    }
  };
  await Promise.all(Array.from({ length: load.concurrent }, lane));
  const after = cpuByRole(rig);
  const elapsedMs = performance.now() - startedAtMs;
  const cpuMs = Object.fromEntries(
    ROLES.map((role) => [role, after[role] - before[role]]),
  ) as Record<Role, number>;
  const ktokens = load.requests * load.promptKtokens;
  const coefficients = [load.requests, tokens, ktokens];
  return {
    coefficients,
    cpuMs,
    elapsedMs,
    requests: load.requests,
    unfinished,
  };
}

/** Runs the loads against daemon processes started by the rig. */
export async function measureRequestPath(): Promise<RequestPathCost> {
  const rig = await startRig({
    timeScale: TIME_SCALE,
    policy: { limit: NO_LIMIT },
  });
  try {
    const idleRss = rssByRole(rig);
    await sleep(IDLE_MS);
    const idleStart = cpuByRole(rig);
    await sleep(IDLE_MS);
    const idleEnd = cpuByRole(rig);
    await runLoad(rig, WARM_UP);
    const results: LoadResult[] = [];
    for (const load of LOADS) results.push(await runLoad(rig, load));
    const rss = rssByRole(rig);
    const costOf = (role: Role): RoleCost => {
      const idleMs = idleEnd[role] - idleStart[role];
      const solved = solveLinear(results.map((result) => ({
        coefficients: result.coefficients,
        total: result.cpuMs[role] - idleMs * result.elapsedMs / IDLE_MS,
      })));
      const processes = pidsOf(rig, role).length;
      return {
        cpuMsPerRequest: solved?.[0] ?? NaN,
        cpuUsPerToken: (solved?.[1] ?? NaN) * 1_000,
        cpuMsPerPromptKtoken: solved?.[2] ?? NaN,
        idleCpuMsPerS: idleMs / (IDLE_MS / 1_000) / processes,
        rssMb: rss[role],
        idleRssMb: idleRss[role],
      };
    };
    return {
      entry: costOf("entry"),
      prefill: costOf("prefill"),
      decode: costOf("decode"),
      requests: results.reduce((sum, result) => sum + result.requests, 0),
      ...countUnfinished(results),
    };
  } finally {
    await rig.close();
  }
}

function countUnfinished(results: readonly LoadResult[]) {
  const unfinished = results.flatMap((result) => result.unfinished);
  const unfinishedBy: Record<string, number> = {};
  for (const how of unfinished) {
    unfinishedBy[how] = (unfinishedBy[how] ?? 0) + 1;
  }
  return { unfinished: unfinished.length, unfinishedBy };
}

function rssByRole(rig: Rig): Record<Role, number> {
  const mean = (role: Role) =>
    sumCost(rig, role, "rssMb") / pidsOf(rig, role).length;
  return {
    entry: mean("entry"),
    prefill: mean("prefill"),
    decode: mean("decode"),
  };
}
