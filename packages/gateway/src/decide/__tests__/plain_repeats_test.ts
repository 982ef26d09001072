import { describe, expect, test } from "@jest/globals";
import { hedgeDelayMs, mayHedge, mayRetry } from "../plain_repeats.ts";

const SAFE = { isSafe: true, maxAttempts: 2 };
const UNSAFE = { isSafe: false, maxAttempts: 2 };

function counts(possibleExecutions: number, unexecuted = 0, hedged = false) {
  return { possibleExecutions, unexecuted, hedged };
}

describe("a request that is safe to repeat", () => {
  test("is retried until as many servers as its route allows may have run it", () => {
    expect(mayRetry(counts(1), SAFE)).toBe(true);
    expect(mayRetry(counts(2), SAFE)).toBe(false);
  });

  test("is hedged once, unless that is one server too many", () => {
    expect(mayHedge(counts(1), SAFE)).toBe(true);
    expect(mayHedge(counts(1, 0, true), SAFE)).toBe(false);
    expect(mayHedge(counts(2), SAFE)).toBe(false);
  });
});

describe("a request that must not run twice", () => {
  test("is retried only if no server can have run it", () => {
    expect(mayRetry(counts(0, 1), UNSAFE)).toBe(true);
    expect(mayRetry(counts(1), UNSAFE)).toBe(false);
  });

  test("is never hedged", () => {
    expect(mayHedge(counts(1), UNSAFE)).toBe(false);
  });
});

test.each([SAFE, UNSAFE])("at most three retries follow refusals", (rules) => {
  expect(mayRetry(counts(0, 3), rules)).toBe(true);
  expect(mayRetry(counts(0, 4), rules)).toBe(false);
});

test("a hedge is due before the target latency, or at once", () => {
  expect(hedgeDelayMs(200, 0)).toBeCloseTo(110);
  expect(hedgeDelayMs(200, 500)).toBe(1);
});
