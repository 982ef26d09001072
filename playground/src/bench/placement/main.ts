/**
 * `npm run bench -- placement`: runs real entries and sidecars with simulated
 * engines and replays the same seeded trace for each placement policy. Prints
 * one line of JSON with each policy's figures and the upper bound for the trace.
 */
import { PolicyName } from "@sassafrascleat/routing";
import { sleep } from "@sassafrascleat/runtime";
import { parseArgs } from "node:util";
import { goodputBound } from "./bound.ts";
import { type Cluster, startCluster } from "./cluster.ts";
import { Deployment, DEPLOYMENTS } from "./deployment.ts";
import { replayTrace } from "./replay_trace.ts";
import { type RunReport, summarize } from "./report.ts";
import { createTrace, traceDemand, type TraceRequest } from "./trace.ts";

/**
 * Time for engines to free remaining memory after the last answer, in
 * milliseconds.
 */
const SETTLE_MS = 2_500;

/**
 * The warm-up trace runs before the measured one; its figures are discarded.
 */
const WARM_UP_LOAD = 0.5;
const WARM_UP_SEED = -1;
const WARM_UP_MS = 4_000;

const USAGE = `usage: npm run bench -- placement
  --deployment coop|turretfold   (coop)
  --policy NAME|all              (all) ${Object.values(PolicyName).join(", ")}
  --load X                       (0.9) share of the bottleneck pool's time
  --seed S                       (1)
  --seconds N                    (30) length of the trace
  --cancel SHARE                 (0) share of callers who hang up
  --kill                         crash a decode engine half-way`;

interface BenchOptions {
  deployment: Deployment;
  policies: PolicyName[];
  load: number;
  seed: number;
  durationMs: number;
  cancelShare: number;
  kill: boolean;
}

/** Runs the bench; the exit status is 1 if a request was lost. */
export async function main(args: string[]): Promise<number> {
  const options = parseOptions(args);
  if (!options) {
    console.error(USAGE);
    return 2;
  }
  const shape = DEPLOYMENTS[options.deployment];
  const trace = createTrace({ ...options, shape });
  const bound = goodputBound(trace, shape);
  const results: Record<string, RunReport> = {};
  for (const policy of options.policies) {
    const { records, counters } = await runPolicy(trace, policy, options);
    results[policy] = summarize(records, counters, bound, shape);
  }
  const { deployment, load, seed, cancelShare, kill } = options;
  const demand = traceDemand(trace, shape, options.durationMs);
  const requests = trace.length;
  console.log(JSON.stringify({
    ...{ deployment, load, seed, cancelShare, kill, requests },
    ...{ demand, bound, results },
  }));
  return Object.values(results).some((it) => it.lost > 0) ? 1 : 0;
}

async function runPolicy(
  trace: readonly TraceRequest[],
  policy: PolicyName,
  options: BenchOptions,
) {
  const { deployment, seed, durationMs, kill } = options;
  const cluster = await startCluster({ deployment, policy, seed });
  await warmUp(cluster, options);
  await cluster.resetCounters();
  const timer = kill
    ? setTimeout(() => void cluster.killEngine(), durationMs / 2)
    : undefined;
  try {
    const records = await replayTrace(trace, cluster);
    await sleep(SETTLE_MS);
    return { records, counters: await cluster.readCounters() };
  } finally {
    clearTimeout(timer);
    await cluster.close();
  }
}

/**
 * Fills the prefix caches and lets the JIT compiler warm up in every process.
 */
async function warmUp(cluster: Cluster, options: BenchOptions): Promise<void> {
  const shape = DEPLOYMENTS[options.deployment];
  await replayTrace(
    createTrace({
      shape,
      load: WARM_UP_LOAD,
      seed: WARM_UP_SEED,
      durationMs: WARM_UP_MS,
      cancelShare: 0,
    }),
    cluster,
  );
}

function parseOptions(args: string[]): BenchOptions | undefined {
  const { values } = parseArgs({
    args,
    options: {
      deployment: { type: "string", default: Deployment.Coop },
      policy: { type: "string", default: "all" },
      load: { type: "string", default: "0.9" },
      seed: { type: "string", default: "1" },
      seconds: { type: "string", default: "30" },
      cancel: { type: "string", default: "0" },
      kill: { type: "boolean", default: false },
    },
  });
  const deployment = Object.values(Deployment)
    .find((it) => it === values.deployment);
  const policies = Object.values(PolicyName)
    .filter((it) => values.policy === "all" || values.policy === it);
  if (!deployment || policies.length === 0) return undefined;
  return {
    deployment,
    policies,
    load: Number(values.load),
    seed: Number(values.seed),
    durationMs: Number(values.seconds) * 1_000,
    cancelShare: Number(values.cancel),
    kill: values.kill,
  };
}
