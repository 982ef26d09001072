/** Checks the fuzzer itself: it must detect every deliberately broken rule. */
import { expect, test } from "@jest/globals";
import { Mutation } from "../mutations.ts";
import { fuzz } from "../session.ts";

const SEED = 3;

/** A rule must be detected before it was broken in this many runs. */
const EFFECTIVE_RUNS = 16;

/** Runs in which a rule is broken vary with the machine's speed. */
const MAX_RUNS = 960;
const TIMEOUT_MS = 300_000;

test.each(Object.values(Mutation))("%s is caught", async (mutation) => {
  const report = await fuzz({
    seed: SEED,
    runs: MAX_RUNS,
    mutation,
    effectiveRuns: EFFECTIVE_RUNS,
  });
  expect(report.error).toBeUndefined();
  expect(report.failure?.problems).toBeTruthy();
}, TIMEOUT_MS);
