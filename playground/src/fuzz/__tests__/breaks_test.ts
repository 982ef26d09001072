/** Checks the fuzzer itself: it must detect every deliberately broken rule. */
import { expect, test } from "@jest/globals";
import { Mutation } from "../mutations.ts";
import { fuzz } from "../property.ts";

const SEED = 3;
const MAX_RUNS = 96;
const TIMEOUT_MS = 300_000;

test.each(Object.values(Mutation))("%s is caught", async (mutation) => {
  const report = await fuzz({ seed: SEED, runs: MAX_RUNS, mutation });
  expect(report.failure?.problems).toBeTruthy();
}, TIMEOUT_MS);
