/**
 * Stateful fuzz of the change log: racing proposers in two offices over one
 * store, with lost and late answers, outages, partitions, restarts and
 * compaction, against an oracle that replays the accepted log.
 */
import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { Cluster } from "./fuzz/cluster.ts";
import { steps } from "./fuzz/commands.ts";
import { Break } from "./fuzz/faulty_store.ts";

/** The property: no run of steps breaks a promise. */
function property(broken: Break) {
  return fc.asyncProperty(steps, fc.integer(), async (commands, seed) => {
    const cluster = new Cluster(seed, broken);
    const setup = () => ({ model: {}, real: cluster });
    await fc.asyncModelRun(setup, commands);
    await cluster.finish();
  });
}

describe("change log", () => {
  test.each([1, 2, 3])("keeps its promises, seed %i", async (seed) => {
    await fc.assert(property(Break.None), { seed, numRuns: 25 });
  });

  test.each([Break.Unconditional, Break.LostAsRefused, Break.HiddenHead])(
    "the fuzz catches a store that is broken: %s",
    async (broken) => {
      const options = { seed: 1, numRuns: 400, endOnFailure: true };
      const details = await fc.check(property(broken), options);
      expect(details.failed).toBe(true);
    },
  );
});
