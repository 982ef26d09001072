import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "@sassafrascleat/runtime";
import { CallVerdict, HealthBook } from "../backend_health.ts";

function create() {
  const clock = new ManualClock(1_000);
  return { clock, health: new HealthBook(clock) };
}

describe("a backend server that leaves calls unanswered", () => {
  test("is ejected after two calls and usable again later", () => {
    const { clock, health } = create();
    expect(health.record("a", CallVerdict.Silent, 0, () => ["a", "b"])).toBe(
      false,
    );
    expect(health.record("a", CallVerdict.Silent, 0, () => ["a", "b"])).toBe(
      true,
    );
    expect(health.isUsable("a")).toBe(false);
    clock.advance(1_000);
    expect(health.isUsable("a")).toBe(true);
  });

  test("is ejected for longer each time", () => {
    const { clock, health } = create();
    for (let round = 0; round < 2; round += 1) {
      health.record("a", CallVerdict.Silent, 0, () => []);
      health.record("a", CallVerdict.Silent, 0, () => []);
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
      health.record(key, CallVerdict.Good, 10, () => peers);
    }
    const verdict = call % 2 === 0 ? CallVerdict.Error : CallVerdict.Good;
    ejected = health.record("a", verdict, 10, () => peers);
  }
  expect(ejected).toBe(true);
});

test("no backend server is ejected if all fail equally often", () => {
  const { health } = create();
  const peers = ["a", "b", "c"];
  for (let call = 0; call < 60; call += 1) {
    for (const key of peers) {
      const verdict = call % 2 === 0 ? CallVerdict.Error : CallVerdict.Good;
      expect(health.record(key, verdict, 10, () => peers)).toBe(false);
    }
  }
});

test("proof that a request did not run does not affect health", () => {
  const { health } = create();
  for (let call = 0; call < 20; call += 1) {
    health.record("a", CallVerdict.Shed, 0, () => ["a", "b"]);
  }
  expect(health.isUsable("a")).toBe(true);
});

test("a backend server whose address was taken over is excluded until listed again", () => {
  const { clock, health } = create();
  health.replaced("a");
  clock.advance(60_000);
  expect(health.isUsable("a")).toBe(false);
  health.forget("a");
  expect(health.isUsable("a")).toBe(true);
});

test("a suspended backend server is not usable until the suspension ends", () => {
  const clock = new ManualClock(0);
  const health = new HealthBook(clock);
  health.setAside("a", 9_000);
  clock.advance(8_999);
  expect(health.isUsable("a")).toBe(false);
  health.takeBack("a");
  expect(health.isUsable("a")).toBe(true);
  health.setAside("a", 1_000);
  clock.advance(1_000);
  expect(health.isUsable("a")).toBe(true);
  health.setAside("a", 1_000);
  health.forget("a");
  expect(health.isUsable("a")).toBe(true);
});
