/** Property that fast-check tries to falsify, and the report of a session. */
import fc from "fast-check";
import type { Mutation } from "./mutations.ts";
import { checkRun } from "./oracle.ts";
import { FuzzRun } from "./run.ts";
import { COMMAND_ARBITRARIES, describeStep, type Step } from "./steps.ts";
import { startFuzzDeployment } from "./deployment.ts";

/** Maximum number of commands in one run. */
const MAX_COMMANDS = 30;

/** Maximum number of concurrent runs. */
const MAX_LANES = 8;

/** Time limit for shrinking a failure, in milliseconds. */
const SHRINK_TIMEOUT_MS = 60_000;

/** Model of fast-check's commands; empty because the oracle needs no state. */
type EmptyModel = Record<string, never>;

class StepsCommand implements fc.AsyncCommand<EmptyModel, FuzzRun> {
  readonly #steps: readonly Step[];

  constructor(steps: readonly Step[]) {
    this.#steps = steps;
  }

  check(): boolean {
    return true;
  }

  async run(_model: EmptyModel, run: FuzzRun): Promise<void> {
    for (const step of this.#steps) await run.perform(step);
  }

  toString(): string {
    return this.#steps.map(describeStep).join(", ");
  }
}

type Commands = Iterable<fc.AsyncCommand<EmptyModel, FuzzRun>>;

/** Runs the commands on a new deployment; returns the violated guarantees. */
async function runCommands(
  commands: Commands,
  mutation: Mutation | undefined,
): Promise<string[]> {
  const deployment = await startFuzzDeployment(mutation);
  const run = new FuzzRun(deployment);
  try {
    await fc.asyncModelRun(() => ({ model: {}, real: run }), commands);
    await run.settle();
    return await checkRun(deployment, run.records);
  } finally {
    await deployment.close();
  }
}

/** Options of a fuzz session. */
export interface FuzzOptions {
  seed: number;
  /** Total number of runs. */
  runs: number;
  /** Rule of the product that is deliberately broken. */
  mutation?: Mutation;
  /** Lane and fast-check path of a failure to replay. */
  replay?: { lane: number; path: string };
}

/** A failure, with everything needed to replay it. */
export interface FuzzFailure {
  seed: number;
  lane: number;
  path: string;
  /** The shrunk steps, separated by commas. */
  steps: string;
  problems: string;
}

/** Outcome of a fuzz session. */
export interface FuzzReport {
  runs: number;
  failure: FuzzFailure | undefined;
}

function laneSeed(seed: number, lane: number): number {
  return seed * 1_000 + lane;
}

async function runLane(
  options: FuzzOptions,
  lane: number,
  runs: number,
  shouldStop: () => boolean,
): Promise<FuzzReport> {
  const arbitrary = fc.commands(
    COMMAND_ARBITRARIES.map((it) => it.map((steps) => new StepsCommand(steps))),
    { maxCommands: MAX_COMMANDS, size: "max" },
  );
  let done = 0;
  let shrinkDeadlineMs = Infinity;
  const property = fc.asyncProperty(arbitrary, async (commands) => {
    if (shouldStop() || performance.now() > shrinkDeadlineMs) return;
    done += 1;
    const problems = await runCommands(commands, options.mutation);
    if (problems.length === 0) return;
    if (shrinkDeadlineMs === Infinity) {
      shrinkDeadlineMs = performance.now() + SHRINK_TIMEOUT_MS;
      console.error(`found ${problems.join("; ")}; shrinking`);
    }
    throw new Error(problems.join("\n"));
  });
  const details = await fc.check(property, {
    seed: laneSeed(options.seed, lane),
    path: options.replay?.path,
    numRuns: runs,
    endOnFailure: options.mutation !== undefined,
  });
  if (!details.failed || !details.counterexample) {
    return { runs: done, failure: undefined };
  }
  const failure = {
    seed: options.seed,
    lane,
    path: details.counterexamplePath ?? "",
    steps: String(details.counterexample[0]),
    problems: String(details.errorInstance ?? ""),
  };
  return { runs: done, failure };
}

/**
 * Runs a fuzz session in several parallel lanes; the first failure stops it.
 */
export async function fuzz(options: FuzzOptions): Promise<FuzzReport> {
  if (options.replay) {
    return await runLane(options, options.replay.lane, 1, () => false);
  }
  const lanes = Math.min(MAX_LANES, options.runs);
  const runsPerLane = Math.ceil(options.runs / lanes);
  let failed = false;
  const reports = await Promise.all(
    Array.from({ length: lanes }, async (_, lane) => {
      const report = await runLane(options, lane, runsPerLane, () => failed);
      failed ||= report.failure !== undefined;
      return report;
    }),
  );
  return {
    runs: reports.reduce((total, report) => total + report.runs, 0),
    failure: reports.find((report) => report.failure)?.failure,
  };
}
