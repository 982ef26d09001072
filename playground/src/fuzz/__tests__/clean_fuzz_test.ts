/** Runs the fuzzer with fixed seeds against the unmodified product. */
import { expect, test } from "@jest/globals";
import { fuzz } from "../session.ts";

const RUNS = 64;
const TIMEOUT_MS = 240_000;

test.each([1, 2])("seed %i violates no guarantee", async (seed) => {
  const report = await fuzz({ seed, runs: RUNS });
  expect(report.error).toBeUndefined();
  expect(report.failure).toBeUndefined();
  expect(report.runs).toBe(RUNS);
}, TIMEOUT_MS);
