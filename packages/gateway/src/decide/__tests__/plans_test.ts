import { describe, expect, test } from "@jest/globals";
import { createRandom } from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  EngineStage,
} from "../../backends/backend.ts";
import { planRead, ReadPlace } from "../read_plan.ts";
import { returnAfterMs } from "../return_time.ts";
import { nextWaiter } from "../room_order.ts";
import { planStageChange, planStageChanges } from "../stage_plan.ts";

describe("the kind of engine for a prefill", () => {
  test.each([
    ["an idle prefill engine", 0, 700, ReadPlace.Prefill],
    ["a short queue", 100, 700, ReadPlace.Prefill],
    ["a queue that keeps the request on time", 275, 700, ReadPlace.Prefill],
    ["a queue that makes the request late", 400, 700, ReadPlace.Decode],
    ["a late request and a queue", 700, -50, ReadPlace.Prefill],
    ["a late request and a long queue", 2_000, -50, ReadPlace.Decode],
    ["no prefill engine", undefined, 700, ReadPlace.Decode],
  ])("%s", (_name, prefillWaitMs, onTimeMs, place) => {
    const plan = planRead({ readMs: 140, prefillWaitMs, onTimeMs });
    expect(plan.place).toBe(place);
  });
});

describe("which waiting request is placed next", () => {
  const waiter = (name: string, onTimeUntilMs: number, priority = 1) => ({
    name,
    priority,
    onTimeUntilMs,
    untilMs: onTimeUntilMs + 1_000,
  });

  test.each([
    [
      "the one with the earlier deadline",
      [waiter("x", 900), waiter("y", 800)],
      "y",
    ],
    ["one that can be on time", [waiter("x", 100), waiter("y", 800)], "y"],
    ["the more urgent one", [waiter("x", 700, 2), waiter("y", 800, 1)], "y"],
  ])("%s", (_name, waiters, first) => {
    expect(nextWaiter(waiters, 500)?.name).toBe(first);
  });
});

describe("stages of engines", () => {
  function engines(prefill: number, decode: number): Backend[] {
    const stages = [
      ...Array(prefill).fill(EngineStage.Prefill),
      ...Array(decode).fill(EngineStage.Decode),
    ];
    return stages.map((stage, index) => ({
      id: `e${index}`,
      service: "s",
      address: "127.0.0.1:1",
      zone: `z${index % 3}`,
      slots: 12,
      state: BackendState.Ready,
      stage,
    }));
  }
  const none = { readMs: 0, decodeMs: 0 };

  test.each([
    ["too many prefill engines", 3, 3, none, EngineStage.Decode],
    ["a split that matches the work", 2, 4, none, undefined],
    ["no prefill engine", 0, 6, none, EngineStage.Prefill],
    ["the last prefill engine stays", 1, 1, none, undefined],
    [
      "long prompts, short answers",
      2,
      4,
      { readMs: 400_000, decodeMs: 300_000 },
      EngineStage.Prefill,
    ],
    ["one engine", 1, 0, none, undefined],
  ])("%s", (_name, prefill, decode, work, stage) => {
    const change = planStageChange({ engines: engines(prefill, decode), work });
    expect(change?.stage).toBe(stage);
  });

  test("the engine with the least work to finish changes", () => {
    const all = engines(0, 6);
    const loadOf = (engine: Backend) => engine.id === "e4" ? 0 : 3;
    const change = planStageChange({ engines: all, work: none, loadOf });
    expect(change?.engine.id).toBe("e4");
  });

  test("several changes go in one direction and reach a stable split", () => {
    const all = engines(13, 23);
    const changes = planStageChanges({ engines: all, work: none }, 36);
    expect(changes.length).toBeGreaterThan(1);
    expect(new Set(changes.map((it) => it.stage))).toEqual(
      new Set([EngineStage.Decode]),
    );
    expect(new Set(changes.map((it) => it.engine.id)).size).toBe(
      changes.length,
    );
    for (const change of changes) change.engine.stage = change.stage;
    expect(planStageChange({ engines: all, work: none })).toBeUndefined();
    expect(planStageChanges({ engines: engines(13, 23), work: none }, 2))
      .toHaveLength(2);
  });
});

test("rejected callers get different delays, within their remaining time", () => {
  const random = createRandom(5);
  const times = Array.from(
    { length: 200 },
    () => returnAfterMs(2_000, 14_000, random),
  );
  expect(Math.max(...times)).toBeLessThanOrEqual(14_000 / 3);
  expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(1_500);
  expect(returnAfterMs(2_000, 600, random)).toBeLessThanOrEqual(200);
});
