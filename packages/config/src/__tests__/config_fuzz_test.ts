/**
 * Stateful fuzz of the change log: racing proposers in two offices over one
 * store, with lost and late answers, outages, partitions, restarts and
 * compaction, against an oracle that replays the accepted log. `FUZZ_RUNS` and
 * `FUZZ_SEED` make the runs longer or other ones.
 */
import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { Cluster } from "./fuzz/cluster.ts";
import { steps } from "./fuzz/commands.ts";
import { StoreDefect } from "./fuzz/faulty_store.ts";

/** Runs of each seed. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 25);

/** The first seed. */
const SEED = Number(process.env.FUZZ_SEED ?? 1);

/** Time that one run may take, in milliseconds. */
const RUN_TIMEOUT_MS = 2_000;

/** The property: no run of steps breaks a promise. */
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
    "keeps its promises, seed %i",
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
    "the fuzz catches a store that is broken: %s",
    async (broken) => {
      const options = { seed: 1, numRuns: 400, endOnFailure: true };
      const details = await fc.check(property(broken), options);
      expect(details.failed).toBe(true);
    },
  );
});
