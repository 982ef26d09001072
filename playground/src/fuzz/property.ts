/** The property that fast-check tries to break, and its report. */
import fc from "fast-check";
import type { Break } from "./breaks.ts";
import { checkRun } from "./oracle.ts";
import { FuzzRun } from "./run.ts";
import { describeStep, type Step, STEP_ARBITRARIES } from "./steps.ts";
import { startWorld } from "./world.ts";

/** Most steps of one run. */
const MAX_STEPS = 30;

/** Most runs that go on side by side. */
const MAX_LANES = 8;

/** Time spent on shrinking a failure, in milliseconds. */
const SHRINK_LIMIT_MS = 60_000;

/** Model of fast-check's commands; the oracle keeps no state of its own. */
type EmptyModel = Record<string, never>;

class StepCommand implements fc.AsyncCommand<EmptyModel, FuzzRun> {
  readonly #step: Step;

  constructor(step: Step) {
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  async run(_model: EmptyModel, run: FuzzRun): Promise<void> {
    await run.perform(this.#step);
  }

  toString(): string {
    return describeStep(this.#step);
  }
}

type Commands = Iterable<fc.AsyncCommand<EmptyModel, FuzzRun>>;

/** Performs the commands on a new world; returns what was broken. */
async function tryCommands(
  commands: Commands,
  rule: Break | undefined,
): Promise<string[]> {
  const world = await startWorld(rule);
  const run = new FuzzRun(world);
  try {
    await fc.asyncModelRun(() => ({ model: {}, real: run }), commands);
    await run.settle();
    return await checkRun(world, run.records);
  } finally {
    await world.close();
  }
}

/** Options of a fuzz session. */
export interface FuzzOptions {
  seed: number;
  /** Runs in all. */
  runs: number;
  /** Rule of the product that is broken on purpose. */
  rule?: Break;
  /** Lane and path of a failure to replay. */
  replay?: { lane: number; path: string };
}

/** One failure, enough to replay it. */
export interface FuzzFailure {
  seed: number;
  lane: number;
  path: string;
  /** The shrunk steps, one a line. */
  steps: string;
  problems: string;
}

/** The outcome of a fuzz session. */
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
  isOver: () => boolean,
): Promise<FuzzReport> {
  const arbitrary = fc.commands(
    STEP_ARBITRARIES.map((step) => step.map((s) => new StepCommand(s))),
    { maxCommands: MAX_STEPS, size: "max" },
  );
  let done = 0;
  let shrinkUntilMs = Infinity;
  const property = fc.asyncProperty(arbitrary, async (commands) => {
    if (isOver() || performance.now() > shrinkUntilMs) return;
    done += 1;
    const problems = await tryCommands(commands, options.rule);
    if (problems.length === 0) return;
    if (shrinkUntilMs === Infinity) {
      shrinkUntilMs = performance.now() + SHRINK_LIMIT_MS;
      console.error(`found ${problems.join("; ")}; shrinking`);
    }
    throw new Error(problems.join("\n"));
  });
  const details = await fc.check(property, {
    seed: laneSeed(options.seed, lane),
    path: options.replay?.path,
    numRuns: runs,
    endOnFailure: options.rule !== undefined,
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

/** Runs a fuzz session in several lanes; the first failure ends it. */
export async function fuzz(options: FuzzOptions): Promise<FuzzReport> {
  if (options.replay) {
    return await runLane(options, options.replay.lane, 1, () => false);
  }
  const lanes = Math.min(MAX_LANES, options.runs);
  const share = Math.ceil(options.runs / lanes);
  let failed = false;
  const reports = await Promise.all(
    Array.from({ length: lanes }, async (_, lane) => {
      const report = await runLane(options, lane, share, () => failed);
      failed ||= report.failure !== undefined;
      return report;
    }),
  );
  return {
    runs: reports.reduce((total, report) => total + report.runs, 0),
    failure: reports.find((report) => report.failure)?.failure,
  };
}
