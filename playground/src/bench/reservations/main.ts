/**
 * Compares ordered, expiring reservations with reservations in either order
 * and deadlock detection by a leader, on the same arrivals. Both are discrete
 * event simulations, so the results depend only on the options and the seed.
 */
import { parseArgs } from "node:util";
import { runWithLeader } from "./leader.ts";
import { runOrdered } from "./ordered.ts";
import { createJobs } from "./workload.ts";

const DURATION_MS = 120_000;
const SETTLE_MS = 30_000;
const LEADER_INTERVAL_MS = 1_000;

/** Runs the bench and prints one line of JSON for each load. */
export async function main(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: "string", default: "1" },
      "early-ms": { type: "string", default: "60" },
      rates: { type: "string", default: "20,26,30,34" },
    },
  });
  const earlyMs = Number(values["early-ms"]);
  for (const rate of values.rates.split(",").map(Number)) {
    const jobs = createJobs(Number(values.seed), rate, DURATION_MS);
    const untilMs = DURATION_MS + SETTLE_MS;
    const leader = runWithLeader(jobs, untilMs, LEADER_INTERVAL_MS);
    console.log(JSON.stringify({
      bench: "reservations",
      seed: Number(values.seed),
      requestsPerSecond: rate,
      requests: jobs.length,
      earlyMs,
      ordered: runOrdered(jobs, untilMs, earlyMs).summary(jobs.length),
      leader: {
        ...leader.score.summary(jobs.length),
        deadlocks: leader.deadlocks,
      },
    }));
  }
  return 0;
}
