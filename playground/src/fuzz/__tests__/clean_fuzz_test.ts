/** Fixed seeds of the fuzzer against the product as it is. */
import { expect, test } from "@jest/globals";
import { fuzz } from "../property.ts";

const RUNS = 64;
const LIMIT_MS = 240_000;

test.each([1, 2])("seed %i breaks no promise", async (seed) => {
  const report = await fuzz({ seed, runs: RUNS });
  expect(report.failure).toBeUndefined();
  expect(report.runs).toBe(RUNS);
}, LIMIT_MS);
