import { beforeEach, describe, expect, test } from "@jest/globals";
import { createRandom, ManualClock } from "@sassafrascleat/runtime";
import { RequestRateLimits } from "../request_rate_limits.ts";

const WINDOW_MS = 4_000;
const STEP_MS = 20;
const HOUR_MS = 3_600_000;

let clock: ManualClock;

beforeEach(() => {
  clock = new ManualClock(1_000);
});

function createRouters(count: number): RequestRateLimits[] {
  const names = Array.from({ length: count }, (_item, i) => `front-${i}`);
  return names.map((routerName, i) => {
    const limits = new RequestRateLimits({
      clock,
      random: createRandom(i),
      routerName,
      assumedRouters: 16,
    });
    limits.setRouters(names);
    return limits;
  });
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** Most requests in any window of the length of the rule. */
function busiestWindow(perStep: readonly number[]): number {
  const steps = WINDOW_MS / STEP_MS;
  let most = 0;
  for (let end = steps; end <= perStep.length; end += 1) {
    most = Math.max(most, sum(perStep.slice(end - steps, end)));
  }
  return most;
}

describe("LIMIT: the rate of all routers together", () => {
  test.each([
    [1, 5],
    [0.3, 5],
    [4.9, 5],
    [1, 24],
    [0.6, 68],
    [10, 68],
    [60, 68],
  ])(
    "a limit of %d a second holds for %d routers under any load",
    (perSecond, count) => {
      const routers = createRouters(count);
      for (const limits of routers) limits.observe("e1", perSecond, 0);
      // After a long quiet time all have saved up what they can.
      clock.advance(HOUR_MS);
      const perStep: number[] = [];
      for (let step = 0; step < 20 * WINDOW_MS / STEP_MS; step += 1) {
        const sent = routers.filter((limits) => limits.tryAcquire("e1")).length;
        perStep.push(sent);
        clock.advance(STEP_MS);
      }
      const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
      expect(busiestWindow(perStep)).toBeLessThanOrEqual(allowed);
      // Nor does it stay unused.
      const seconds = 20 * WINDOW_MS / 1_000;
      expect(sum(perStep)).toBeGreaterThan(0.9 * perSecond * seconds);
    },
  );

  test("routers whose names are not known yet share it equally", () => {
    const limits = new RequestRateLimits({
      clock,
      random: createRandom(1),
      routerName: "r1",
      assumedRouters: 16,
    });
    limits.observe("e1", 16, 0);
    limits.charge("e1");
    const before = limits.waitMs("e1");
    expect(before).toBeGreaterThanOrEqual(1_000);
    clock.advance(before);
    expect(limits.tryAcquire("e1")).toBe(true);
  });
});

describe("one router", () => {
  let limits: RequestRateLimits;

  beforeEach(() => {
    limits = createRouters(1)[0] as RequestRateLimits;
  });

  test("a limit that is not named any more has ended", () => {
    expect(limits.observe("e1", 0.1, clock.now())).toBe(true);
    limits.charge("e1");
    expect(limits.allows("e1")).toBe(false);
    clock.advance(10);
    expect(limits.observe("e1", undefined, clock.now())).toBe(true);
    expect(limits.allows("e1")).toBe(true);
  });

  test("a response to an earlier request does not end it", () => {
    const sentAtMs = clock.now();
    clock.advance(10);
    limits.observe("e1", 0.1, clock.now());
    limits.charge("e1");
    expect(limits.observe("e1", undefined, sentAtMs)).toBe(false);
    expect(limits.allows("e1")).toBe(false);
  });

  test("a request that was not sent is given back", () => {
    limits.observe("e1", 1, 0);
    clock.advance(5_000);
    expect(limits.tryAcquire("e1")).toBe(true);
    expect(limits.tryAcquire("e1")).toBe(false);
    limits.refund("e1");
    expect(limits.tryAcquire("e1")).toBe(true);
  });

  test("it asks again after two seconds without a response", () => {
    limits.observe("e1", 1, 0);
    expect(limits.shouldAsk("e1")).toBe(false);
    clock.advance(2_000);
    expect(limits.shouldAsk("e1")).toBe(true);
    expect(limits.shouldAsk("e1")).toBe(false);
    expect(limits.shouldAsk("e2")).toBe(false);
  });
});
