/** Fuzz session: several lanes that run at the same time. */
import type { FuzzFailure, LaneReport } from "./lane.ts";
import { LaneProcess } from "./lane_process.ts";
import type { Mutation } from "./mutations.ts";

/** Maximum number of concurrent lanes. */
const MAX_LANES = 8;

/** Options of a fuzz session. */
export interface FuzzOptions {
  seed: number;
  /** Maximum number of runs. */
  runs: number;
  /** Rule of the product that is deliberately broken. */
  mutation?: Mutation;
  /**
   * Number of runs in which the mutation has to take effect before it counts
   * as not detected; the session then ends.
   * @default Infinity
   */
  effectiveRuns?: number;
  /** Lane and fast-check path of a failure to replay. */
  replay?: { lane: number; path: string };
}

/** Outcome of a fuzz session. */
export interface FuzzReport {
  runs: number;
  /** Number of runs in which the mutation took effect. */
  effectiveRuns: number;
  failure?: FuzzFailure;
  /** Why the session is no proof of anything, if so. */
  error?: string;
}

class FuzzSession {
  readonly #options: FuzzOptions;
  readonly #lanes: LaneProcess[];
  #runs = 0;
  #effectiveRuns = 0;

  constructor(options: FuzzOptions) {
    this.#options = options;
    this.#lanes = options.replay
      ? [this.#startLane(options.replay.lane, 1, options.replay.path)]
      : this.#startLanes();
  }

  async run(): Promise<FuzzReport> {
    const reports = await Promise.all(
      this.#lanes.map((lane) => this.#follow(lane)),
    );
    const failure = reports.find((report) => report.failure)?.failure;
    const error = reports.find((report) => report.error)?.error;
    return {
      runs: this.#runs,
      effectiveRuns: this.#effectiveRuns,
      failure,
      error: error ?? this.#tooFewEffects(failure),
    };
  }

  #startLanes(): LaneProcess[] {
    const lanes = Math.min(MAX_LANES, this.#options.runs);
    const runsPerLane = Math.ceil(this.#options.runs / lanes);
    return Array.from(
      { length: lanes },
      (_, lane) => this.#startLane(lane, runsPerLane),
    );
  }

  #startLane(lane: number, runs: number, path?: string): LaneProcess {
    const { seed, mutation } = this.#options;
    const options = { seed, lane, runs, mutation, path };
    return new LaneProcess(options, (effects) => this.#countRun(effects));
  }

  async #follow(lane: LaneProcess): Promise<LaneReport> {
    const report = await lane.report;
    if (report.failure || report.error) this.#stop();
    return report;
  }

  #countRun(effects: number): void {
    this.#runs += 1;
    if (effects > 0) this.#effectiveRuns += 1;
    if (this.#effectiveRuns >= this.#enoughRuns) this.#stop();
  }

  get #enoughRuns(): number {
    return this.#options.effectiveRuns ?? Infinity;
  }

  #stop(): void {
    for (const lane of this.#lanes) lane.stop();
  }

  /** A rule that was hardly ever broken is no rule that was not detected. */
  #tooFewEffects(failure: FuzzFailure | undefined): string | undefined {
    const { effectiveRuns } = this.#options;
    if (failure || effectiveRuns === undefined) return undefined;
    if (this.#effectiveRuns >= effectiveRuns) return undefined;
    return `the rule was broken in ${this.#effectiveRuns} of ${this.#runs} ` +
      `runs, but must be in ${effectiveRuns}`;
  }
}

/**
 * Runs a fuzz session. The first failure stops it, and so does the first run
 * that could not be judged.
 */
export async function fuzz(options: FuzzOptions): Promise<FuzzReport> {
  return await new FuzzSession(options).run();
}
