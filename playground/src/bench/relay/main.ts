/**
 * `npm run bench -- relay [--daemons 24,96,240] [--changes 10]`: the
 * configuration relay over loopback, with slopes over the number of daemons.
 */
import { parseArgs } from "node:util";
import {
  fitLine,
  type Line,
  roundToSignificantDigits,
} from "../measure/fit.ts";
import { FOLLOWER_WORKERS, type RunFigures, runRelay } from "./run.ts";

const CHANGE_INTERVAL_MS = 800;
const IDLE_MS = 6_000;

/** Slopes over the number of daemons of a zone or of the whole fleet. */
export interface RelaySlopes {
  /** Processor time of a head, idle, in ms a second over followers of a head. */
  headIdleCpuMsPerS: Line;
  /** Processor time of a head for one change, over followers of a head. */
  headCpuMsPerChange: Line;
  /** Bytes a second of an idle head, over followers of a head. */
  headIdleBytesPerS: Line;
  /** Bytes of a head for one change, over followers of a head. */
  headBytesPerChange: Line;
  /** Store reads a second without changes, over daemons. */
  storeIdleReadsPerS: Line;
  /** Store reads of one change, over daemons. */
  storeReadsPerChange: Line;
  /** Processor time of an idle worker with followers, over its daemons. */
  followerIdleCpuMsPerS: Line;
  /** Processor time of such a worker for one change, over its daemons. */
  followerCpuMsPerChange: Line;
  /** Resident memory of a worker with followers, in MB over its daemons. */
  followerRssMb: Line;
}

/** Fits slopes through runs of different sizes. */
export function slopesOf(runs: readonly RunFigures[]): RelaySlopes {
  const perHead = (pick: (run: RunFigures) => number) =>
    fitLine(runs.map((run) => ({
      x: run.follower.daemons / run.head.daemons,
      y: pick(run),
    })));
  const perDaemon = (pick: (run: RunFigures) => number) =>
    fitLine(runs.map((run) => ({ x: run.daemons, y: pick(run) })));
  const perWorker = (pick: (run: RunFigures) => number) =>
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

/** Runs the relay once for each size. */
export async function runSizes(
  sizes: readonly number[],
  changes: number,
): Promise<RunFigures[]> {
  const runs: RunFigures[] = [];
  for (const daemons of sizes) {
    const timing = { changeIntervalMs: CHANGE_INTERVAL_MS, idleMs: IDLE_MS };
    runs.push(await runRelay({ daemons, changes, ...timing }));
  }
  return runs;
}

/** Prints one line of JSON; fails when a change did not arrive everywhere. */
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
    console.error("--daemons takes whole numbers of at least 18, by commas");
    return 2;
  }
  const runs = await runSizes(sizes, changes);
  const slopes = slopesOf(runs);
  const round = (_key: string, value: unknown) =>
    typeof value === "number" ? roundToSignificantDigits(value) : value;
  console.log(JSON.stringify({ bench: "relay", changes, runs, slopes }, round));
  return runs.every((run) => run.missing === 0) ? 0 : 1;
}
