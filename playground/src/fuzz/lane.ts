/**
 * Lane of a fuzz session: the property that fast-check tries to falsify in one
 * process, one run after the other.
 */
import { VError } from "@sassafrascleat/runtime";
import fc from "fast-check";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { type FuzzDeployment, startFuzzDeployment } from "./deployment.ts";
import { ActiveMutation, type Mutation } from "./mutations.ts";
import { checkRun } from "./oracle.ts";
import { FuzzRun } from "./run.ts";
import { COMMAND_ARBITRARIES, describeStep, type Step } from "./steps.ts";

/** Maximum number of commands in one run. */
const MAX_COMMANDS = 30;

/** Time limit for shrinking a failure, in milliseconds. */
const SHRINK_TIMEOUT_MS = 60_000;

const NS_PER_MS = 1_000_000;

/** Options of a lane. */
export interface LaneOptions {
  seed: number;
  lane: number;
  /** Maximum number of runs, without those that shrink a failure. */
  runs: number;
  /** Rule of the product that is deliberately broken. */
  mutation?: Mutation;
  /** fast-check's path of a failure to replay. */
  path?: string;
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

/** Outcome of a lane. */
export interface LaneReport {
  failure?: FuzzFailure;
  /**
   * Why a run could not be judged, such as a deployment that did not start.
   * That is no violated guarantee, but no clean run either.
   */
  error?: string;
}

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

/** Runs the commands on the deployment; returns the violated guarantees. */
async function runCommands(
  deployment: FuzzDeployment,
  commands: Commands,
): Promise<string[]> {
  const run = new FuzzRun(deployment);
  try {
    await fc.asyncModelRun(() => ({ model: {}, real: run }), commands);
    await run.settle();
    return await checkRun(deployment, run.records);
  } finally {
    await deployment.close();
  }
}

function laneSeed(seed: number, lane: number): number {
  return seed * 1_000 + lane;
}

/** One lane. It ends early once a run could not be judged. */
class Lane {
  readonly #options: LaneOptions;
  readonly #signal: AbortSignal;
  readonly #onRun: (effects: number) => void;
  readonly #start: typeof startFuzzDeployment;
  /** How late this process's event loop was in the run in progress. */
  readonly #lateness = monitorEventLoopDelay();
  #shrinkDeadlineMs = Infinity;
  #error: string | undefined;

  constructor(
    options: LaneOptions,
    signal: AbortSignal,
    onRun: (effects: number) => void,
    start: typeof startFuzzDeployment,
  ) {
    this.#options = options;
    this.#signal = signal;
    this.#onRun = onRun;
    this.#start = start;
  }

  async run(): Promise<LaneReport> {
    const { seed, lane, path, runs, mutation } = this.#options;
    this.#lateness.enable();
    const arbitrary = fc.commands(
      COMMAND_ARBITRARIES.map((it) =>
        it.map((steps) => new StepsCommand(steps))
      ),
      { maxCommands: MAX_COMMANDS, size: "max" },
    );
    const property = fc.asyncProperty(arbitrary, (it) => this.#check(it));
    const details = await fc.check(property, {
      seed: laneSeed(seed, lane),
      path,
      numRuns: runs,
      endOnFailure: mutation !== undefined,
    });
    const error = this.#error;
    if (!details.failed || !details.counterexample) return { error };
    const failure = {
      seed,
      lane,
      path: details.counterexamplePath ?? "",
      steps: String(details.counterexample[0]),
      problems: String(details.errorInstance ?? ""),
    };
    return { failure, error };
  }

  get #ended(): boolean {
    return this.#signal.aborted || this.#error !== undefined ||
      performance.now() > this.#shrinkDeadlineMs;
  }

  /** Throws if the run violates a guarantee. */
  async #check(commands: Commands): Promise<void> {
    if (this.#ended) return;
    const problems = await this.#problemsOf(commands);
    if (problems.length === 0) return;
    if (this.#shrinkDeadlineMs === Infinity) {
      this.#shrinkDeadlineMs = performance.now() + SHRINK_TIMEOUT_MS;
      console.error(`found ${problems.join("; ")}; shrinking`);
    }
    throw new Error(problems.join("\n"));
  }

  async #problemsOf(commands: Commands): Promise<string[]> {
    const { mutation } = this.#options;
    const active = mutation && new ActiveMutation(mutation);
    this.#lateness.reset();
    try {
      return await runCommands(await this.#start(active), commands);
    } catch (err) {
      // Not thrown on: fast-check would report it as a counterexample.
      const lateMs = Math.round(this.#lateness.max / NS_PER_MS);
      this.#error = `${VError.fullStack(err as Error)}\n` +
        `The event loop was late by up to ${lateMs} ms.`;
      return [];
    } finally {
      this.#onRun(active?.effects ?? 0);
    }
  }
}

/**
 * Performs the runs of a lane until one violates a guarantee, one can't be
 * judged, or `signal` aborts. `onRun` is told after each run how often the
 * mutation took effect; `start` starts a run's deployment.
 */
export async function runLane(
  options: LaneOptions,
  signal: AbortSignal,
  onRun: (effects: number) => void,
  start = startFuzzDeployment,
): Promise<LaneReport> {
  return await new Lane(options, signal, onRun, start).run();
}
