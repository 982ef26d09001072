/**
 * `npm run bench -- relay [--daemons 24,96,240] [--changes 10]`: measures the
 * configuration relay over loopback and fits its costs to the number of
 * daemons. Heads are the daemons of a zone that read changes from the store;
 * the others, the followers, long-poll a head.
 */
import { parseArgs } from "node:util";
import {
  fitLine,
  type Line,
  roundToSignificantDigits,
} from "../measure/fit.ts";
import { FOLLOWER_WORKERS, type RelayRunResult, runRelay } from "./run.ts";

const CHANGE_INTERVAL_MS = 800;
const IDLE_MS = 6_000;

/** Linear fits of the relay's costs. */
export interface RelayCostFits {
  /** CPU time of an idle head, in ms per second, by followers per head. */
  headIdleCpuMsPerS: Line;
  /** CPU time of a head per change, in ms, by followers per head. */
  headCpuMsPerChange: Line;
  /** Bytes per second of an idle head, by followers per head. */
  headIdleBytesPerS: Line;
  /** Bytes of a head per change, by followers per head. */
  headBytesPerChange: Line;
  /** Store reads per second without changes, by daemons of the fleet. */
  storeIdleReadsPerS: Line;
  /** Store reads per change, by daemons of the fleet. */
  storeReadsPerChange: Line;
  /**
   * CPU time of an idle follower process, in ms per second, by daemons in it.
   */
  followerIdleCpuMsPerS: Line;
  /** CPU time of a follower process per change, in ms, by daemons in it. */
  followerCpuMsPerChange: Line;
  /** Resident memory of a follower process, in MB, by daemons in it. */
  followerRssMb: Line;
}

/** Fits lines through runs of different sizes. */
export function fitRelayCosts(runs: readonly RelayRunResult[]): RelayCostFits {
  const perHead = (pick: (run: RelayRunResult) => number) =>
    fitLine(runs.map((run) => ({
      x: run.follower.daemons / run.head.daemons,
      y: pick(run),
    })));
  const perDaemon = (pick: (run: RelayRunResult) => number) =>
    fitLine(runs.map((run) => ({ x: run.daemons, y: pick(run) })));
  const perWorker = (pick: (run: RelayRunResult) => number) =>
    fitLine(runs.map((run) => ({
      x: run.follower.daemons / FOLLOWER_WORKERS,
      y: pick(run),
    })));
  return {
    headIdleCpuMsPerS: perHead((run) => run.head.idleCpuMsPerS),
    headCpuMsPerChange: perHead((run) => run.head.cpuMsPerChange),
    headIdleBytesPerS: perHead((run) => run.head.idleBytesPerS),
    headBytesPerChange: perHead((run) => run.head.bytesPerChange),
    storeIdleReadsPerS: perDaemon((run) => run.store.idleReadsPerS),
    storeReadsPerChange: perDaemon((run) => run.store.readsPerChange),
    followerIdleCpuMsPerS: perWorker((run) =>
      run.follower.idleCpuMsPerS * run.follower.daemons / FOLLOWER_WORKERS
    ),
    followerCpuMsPerChange: perWorker((run) =>
      run.follower.cpuMsPerChange * run.follower.daemons / FOLLOWER_WORKERS
    ),
    followerRssMb: perWorker((run) => run.follower.processRssMb),
  };
}

/** Runs the bench once for each number of daemons. */
export async function runRelayForSizes(
  sizes: readonly number[],
  changes: number,
): Promise<RelayRunResult[]> {
  const runs: RelayRunResult[] = [];
  for (const daemons of sizes) {
    const timing = { changeIntervalMs: CHANGE_INTERVAL_MS, idleMs: IDLE_MS };
    runs.push(await runRelay({ daemons, changes, ...timing }));
  }
  return runs;
}

/**
 * Prints one line of JSON; the exit status is 1 if a change did not reach every
 * daemon.
 */
export async function main(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      daemons: { type: "string", default: "24,96,240" },
      changes: { type: "string", default: "10" },
    },
  });
  const sizes = values.daemons.split(",").map(Number);
  const changes = Number(values.changes);
  if (!sizes.every((size) => Number.isInteger(size) && size >= 18)) {
    console.error(
      "--daemons must be a comma-separated list of integers of at least 18",
    );
    return 2;
  }
  const runs = await runRelayForSizes(sizes, changes);
  const slopes = fitRelayCosts(runs);
  const round = (_key: string, value: unknown) =>
    typeof value === "number" ? roundToSignificantDigits(value) : value;
  console.log(JSON.stringify({ bench: "relay", changes, runs, slopes }, round));
  return runs.every((run) => run.missing === 0) ? 0 : 1;
}
