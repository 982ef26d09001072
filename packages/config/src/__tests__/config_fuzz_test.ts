/**
 * Model-based fuzz test of the change log. Proposers in two offices race on one
 * store, with lost responses, delayed writes, outages, partitions, restarts and
 * compaction. An oracle that replays the accepted log checks the results. Set
 * `FUZZ_RUNS` for the number of runs and `FUZZ_SEED` for the first seed.
 */
import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { Cluster } from "./fuzz/cluster.ts";
import { steps } from "./fuzz/commands.ts";
import { StoreDefect } from "./fuzz/faulty_store.ts";

/** Number of runs for each seed. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 25);

/** The first seed. */
const SEED = Number(process.env.FUZZ_SEED ?? 1);

/** Time limit per run, in milliseconds. */
const RUN_TIMEOUT_MS = 2_000;

/** The property that no sequence of steps violates an invariant. */
function property(broken: StoreDefect) {
  return fc.asyncProperty(steps, fc.integer(), async (commands, seed) => {
    const cluster = new Cluster(seed, broken);
    const setup = () => ({ model: {}, real: cluster });
    await fc.asyncModelRun(setup, commands);
    await cluster.finish();
  });
}

describe("change log", () => {
  test.each([SEED, SEED + 1, SEED + 2])(
    "keeps its invariants, seed %i",
    async (seed) => {
      await fc.assert(property(StoreDefect.None), { seed, numRuns: RUNS });
    },
    RUNS * RUN_TIMEOUT_MS,
  );

  test.each([
    StoreDefect.Unconditional,
    StoreDefect.LostAsRefused,
    StoreDefect.HiddenHead,
  ])(
    "the fuzz test detects a defective store: %s",
    async (broken) => {
      const options = { seed: 1, numRuns: 400, endOnFailure: true };
      const details = await fc.check(property(broken), options);
      expect(details.failed).toBe(true);
    },
  );
});
