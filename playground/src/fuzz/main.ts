/**
 * `npm run fuzz -- --seed S --runs N`: drives a small deployment with random
 * steps and faults. Prints the seed, the shrunk steps and what was broken on a
 * failure; exit status 1. With `--break NAME` a rule of the product is broken
 * on purpose, and a status of 0 means that the fuzzer has missed it.
 */
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { BREAK_NAMES, breakNamed } from "./breaks.ts";
import { fuzz, type FuzzFailure } from "./property.ts";

/** Exit statuses of the fuzzer. */
enum FuzzExit {
  Clean = 0,
  Broken = 1,
  Usage = 2,
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

const program = command({
  name: "fuzz",
  description: "Drives a small deployment with random steps and faults.",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    runs: option({ type: number, long: "runs", defaultValue: () => 200 }),
    breakName: option({
      type: optional(string),
      long: "break",
      description: "Rule to break on purpose; see --list-breaks",
    }),
    listBreaks: flag({ long: "list-breaks", description: "Print the rules" }),
    lane: option({ type: optional(number), long: "lane" }),
    path: option({ type: optional(string), long: "path" }),
  },
  handler: async ({ seed, runs, breakName, listBreaks, lane, path }) => {
    if (listBreaks) {
      for (const name of BREAK_NAMES) console.log(name);
      return FuzzExit.Clean;
    }
    const rule = breakName === undefined ? undefined : breakNamed(breakName);
    if (breakName !== undefined && rule === undefined) {
      console.error(
        `no break ${breakName}; use one of ${BREAK_NAMES.join(", ")}`,
      );
      return FuzzExit.Usage;
    }
    const replay = path === undefined ? undefined : { lane: lane ?? 0, path };
    const report = await fuzz({ seed, runs, rule, replay });
    if (report.failure) printFailure(report.failure);
    const caught = report.failure !== undefined;
    const verdict = caught ? "broken" : "clean";
    console.log(`fuzz ${verdict} seed=${seed} runs=${report.runs}`);
    return caught ? FuzzExit.Broken : FuzzExit.Clean;
  },
});

process.exit(await run(program, process.argv.slice(2)));
