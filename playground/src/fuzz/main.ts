/**
 * `npm run fuzz -- --seed S --runs N`: drives a small deployment with random
 * steps and faults. On a failure it prints the seed, the shrunk steps and the
 * violated guarantees, and exits with status 1. `--break NAME` deliberately
 * breaks a rule of the product; exit status 0 then means that the fuzzer failed
 * to detect it. Status 3 means that a run could not be judged, for example as
 * its deployment did not start.
 */
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { findMutation, MUTATION_NAMES } from "./mutations.ts";
import type { FuzzFailure } from "./lane.ts";
import { fuzz, type FuzzReport } from "./session.ts";

/** Exit statuses of the fuzzer. */
enum FuzzExit {
  Clean = 0,
  Broken = 1,
  Usage = 2,
  Error = 3,
}

function printFailure(failure: FuzzFailure): void {
  const { seed, lane, path, steps, problems } = failure;
  console.log(`failure seed=${seed} lane=${lane} path=${path}`);
  console.log(
    `replay: npm run fuzz -- --seed ${seed} --lane ${lane} --path ${path}`,
  );
  console.log(`steps:\n  ${steps.replaceAll(",", "\n  ")}`);
  console.log(`broken:\n  ${problems.replaceAll("\n", "\n  ")}`);
}

function exitStatus(report: FuzzReport): FuzzExit {
  if (report.failure) return FuzzExit.Broken;
  return report.error === undefined ? FuzzExit.Clean : FuzzExit.Error;
}

const VERDICTS: Partial<Record<FuzzExit, string>> = {
  [FuzzExit.Clean]: "clean",
  [FuzzExit.Broken]: "broken",
  [FuzzExit.Error]: "error",
};

const program = command({
  name: "fuzz",
  description: "Drives a small deployment with random steps and faults.",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    runs: option({ type: number, long: "runs", defaultValue: () => 200 }),
    breakName: option({
      type: optional(string),
      long: "break",
      description: "Rule to break deliberately; see --list-breaks",
    }),
    listBreaks: flag({ long: "list-breaks", description: "Print the rules" }),
    lane: option({ type: optional(number), long: "lane" }),
    path: option({ type: optional(string), long: "path" }),
  },
  handler: async ({ seed, runs, breakName, listBreaks, lane, path }) => {
    if (listBreaks) {
      for (const name of MUTATION_NAMES) console.log(name);
      return FuzzExit.Clean;
    }
    const mutation = breakName === undefined
      ? undefined
      : findMutation(breakName);
    if (breakName !== undefined && mutation === undefined) {
      console.error(
        `unknown break ${breakName}; use one of ${MUTATION_NAMES.join(", ")}`,
      );
      return FuzzExit.Usage;
    }
    const replay = path === undefined ? undefined : { lane: lane ?? 0, path };
    const report = await fuzz({ seed, runs, mutation, replay });
    if (report.failure) printFailure(report.failure);
    if (report.error) console.error(report.error);
    const status = exitStatus(report);
    console.log(`fuzz ${VERDICTS[status]} seed=${seed} runs=${report.runs}`);
    return status;
  },
});

process.exit(await run(program, process.argv.slice(2)));
