import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "@sassafrascleat/runtime";
import { CallOutcome, HealthTracker } from "../backend_health.ts";

function create() {
  const clock = new ManualClock(1_000);
  return { clock, health: new HealthTracker(clock) };
}

describe("a backend server that does not respond to calls", () => {
  test("is ejected after two calls and usable again later", () => {
    const { clock, health } = create();
    expect(health.record("a", CallOutcome.NoResponse, 0, () => ["a", "b"]))
      .toBe(false);
    expect(health.record("a", CallOutcome.NoResponse, 0, () => ["a", "b"]))
      .toBe(true);
    expect(health.isUsable("a")).toBe(false);
    clock.advance(1_000);
    expect(health.isUsable("a")).toBe(true);
  });

  test("is ejected for longer each time", () => {
    const { clock, health } = create();
    for (let round = 0; round < 2; round += 1) {
      health.record("a", CallOutcome.NoResponse, 0, () => []);
      health.record("a", CallOutcome.NoResponse, 0, () => []);
      clock.advance(1_000);
    }
    expect(health.isUsable("a")).toBe(false);
    clock.advance(1_000);
    expect(health.isUsable("a")).toBe(true);
  });
});

test("a backend server that fails far more often than its peers is ejected", () => {
  const { health } = create();
  const peers = ["a", "b", "c"];
  let ejected = false;
  for (let call = 0; call < 40 && !ejected; call += 1) {
    for (const key of ["b", "c"]) {
      health.record(key, CallOutcome.Good, 10, () => peers);
    }
    const outcome = call % 2 === 0 ? CallOutcome.Error : CallOutcome.Good;
    ejected = health.record("a", outcome, 10, () => peers);
  }
  expect(ejected).toBe(true);
});

test("no backend server is ejected if all fail equally often", () => {
  const { health } = create();
  const peers = ["a", "b", "c"];
  for (let call = 0; call < 60; call += 1) {
    for (const key of peers) {
      const outcome = call % 2 === 0 ? CallOutcome.Error : CallOutcome.Good;
      expect(health.record(key, outcome, 10, () => peers)).toBe(false);
    }
  }
});

test("proof that a request did not run does not affect health", () => {
  const { health } = create();
  for (let call = 0; call < 20; call += 1) {
    health.record("a", CallOutcome.NotExecuted, 0, () => ["a", "b"]);
  }
  expect(health.isUsable("a")).toBe(true);
});

test("a backend server whose address was taken over is excluded until listed again", () => {
  const { clock, health } = create();
  health.excludeReplaced("a");
  clock.advance(60_000);
  expect(health.isUsable("a")).toBe(false);
  health.forget("a");
  expect(health.isUsable("a")).toBe(true);
});

test("a suspended backend server is not usable until the suspension ends", () => {
  const clock = new ManualClock(0);
  const health = new HealthTracker(clock);
  health.suspend("a", 9_000);
  clock.advance(8_999);
  expect(health.isUsable("a")).toBe(false);
  health.resume("a");
  expect(health.isUsable("a")).toBe(true);
  health.suspend("a", 1_000);
  clock.advance(1_000);
  expect(health.isUsable("a")).toBe(true);
  health.suspend("a", 1_000);
  health.forget("a");
  expect(health.isUsable("a")).toBe(true);
});

test("a silent backend server gets no work until it responds, and isn't ejected", () => {
  const { clock, health } = create();
  health.markSilent("a", 3_000);
  expect([health.isUsable("a"), health.isSilent("a")]).toEqual([false, true]);
  health.markResponsive("a");
  expect(health.isUsable("a")).toBe(true);
  health.markSilent("a", 3_000);
  clock.advance(3_001);
  expect(health.isUsable("a")).toBe(true);
  expect(health.recordOf("a").consecutiveEjections).toBe(0);
});
