/** Selection of the requests that can be in time, and the server count estimate. */
import { describe, expect, test } from "@jest/globals";
import { RequestClass } from "@sassafrascleat/protocol";
import fc from "fast-check";
import { selectInTime, type TimedWork } from "../selection.ts";
import { ServerCountEstimator } from "../server_count_estimator.ts";

function work(expectedServiceMs: number, firstTokenDueMs: number): TimedWork {
  const requestClass = RequestClass.Standard;
  return { customer: "c", requestClass, expectedServiceMs, firstTokenDueMs };
}

/** The largest number of items that one server can finish in time, by trying every subset. */
function maxInTimeCount(items: readonly TimedWork[]): number {
  let most = 0;
  for (let mask = 0; mask < 2 ** items.length; mask++) {
    const chosen = items.filter((_, i) => mask & (1 << i));
    chosen.sort((a, b) => a.firstTokenDueMs - b.firstTokenDueMs);
    let nowMs = 0;
    const inTime = chosen.every((item) => {
      nowMs += item.expectedServiceMs;
      return nowMs <= item.firstTokenDueMs;
    });
    if (inTime) most = Math.max(most, chosen.length);
  }
  return most;
}

const arbitraryWork = fc.tuple(
  fc.integer({ min: 1, max: 300 }),
  fc.integer({ min: 1, max: 900 }),
).map(([serviceMs, dueMs]) => work(serviceMs, dueMs));

describe("selectInTime", () => {
  test("selects as many requests as the best subset on one server", () => {
    fc.assert(
      fc.property(fc.array(arbitraryWork, { maxLength: 9 }), (items) => {
        items.sort((a, b) => a.firstTokenDueMs - b.firstTokenDueMs);
        expect(selectInTime(items, 1, 0).size).toBe(maxInTimeCount(items));
      }),
      { seed: 51 },
    );
  });

  test("defers requests of the customer with more than an equal share", () => {
    const burst = Array.from({ length: 10 }, () => work(50, 400));
    const other = { ...work(200, 400), customer: "other" };
    const kept = selectInTime([...burst, other], 1, 0);
    expect(kept.has(other)).toBe(true);
    expect(kept.size).toBe(5);
  });
});

describe("ServerCountEstimator", () => {
  test("estimates the server count from work dispatched after a wait", () => {
    const meter = new ServerCountEstimator();
    expect(meter.servers).toBe(1);
    for (let i = 0; i < 100; i++) {
      meter.advance(i * 50, true);
      meter.recordDispatch(150, 100);
      meter.recordDispatch(500, 0);
    }
    expect(meter.servers).toBeGreaterThan(2.5);
    expect(meter.servers).toBeLessThan(3.5);
  });

  test("subtracts requeued work and ignores periods with an empty queue", () => {
    const meter = new ServerCountEstimator();
    for (let i = 0; i < 100; i++) {
      meter.advance(i * 50, i % 2 === 0);
      meter.recordDispatch(25, 100);
      meter.recordDispatch(100, 100);
      meter.recordDispatch(-100, 100);
    }
    expect(meter.servers).toBeGreaterThan(0.8);
    expect(meter.servers).toBeLessThan(1.2);
  });
});
