import { describe, expect, test } from "@jest/globals";
import { createRandom } from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  EngineStage,
} from "../../backends/backend.ts";
import { planPrefill, PrefillPlace } from "../prefill_plan.ts";
import { retryDelayMs } from "../retry_delay.ts";
import { nextPending } from "../placement_queue.ts";
import { planStageChange, planStageChanges } from "../stage_plan.ts";

describe("the kind of engine for a prefill", () => {
  test.each([
    ["an idle prefill engine", 0, 700, PrefillPlace.Prefill],
    ["a short queue", 100, 700, PrefillPlace.Prefill],
    ["a queue that keeps the request on time", 275, 700, PrefillPlace.Prefill],
    ["a queue that makes the request late", 400, 700, PrefillPlace.Decode],
    ["a late request and a queue", 700, -50, PrefillPlace.Prefill],
    ["a late request and a long queue", 2_000, -50, PrefillPlace.Decode],
    ["no prefill engine", undefined, 700, PrefillPlace.Decode],
  ])("%s", (_name, prefillWaitMs, onTimeMs, place) => {
    const plan = planPrefill({ prefillMs: 140, prefillWaitMs, onTimeMs });
    expect(plan.place).toBe(place);
  });
});

describe("which waiting request is placed next", () => {
  const pending = (name: string, onTimeDeadlineMs: number, priority = 1) => ({
    name,
    priority,
    onTimeDeadlineMs,
    expiresAtMs: onTimeDeadlineMs + 1_000,
  });

  test.each([
    [
      "the one with the earlier deadline",
      [pending("x", 900), pending("y", 800)],
      "y",
    ],
    ["one that can be on time", [pending("x", 100), pending("y", 800)], "y"],
    ["the more urgent one", [pending("x", 700, 2), pending("y", 800, 1)], "y"],
  ])("%s", (_name, waiting, first) => {
    expect(nextPending(waiting, 500)?.name).toBe(first);
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
      version: "v1",
      stage,
    }));
  }
  const none = { prefillMs: 0, decodeMs: 0 };

  test.each([
    ["too many prefill engines", 3, 3, none, EngineStage.Decode],
    ["a split that matches the work", 2, 4, none, undefined],
    ["no prefill engine", 0, 6, none, EngineStage.Prefill],
    ["the last prefill engine stays", 1, 1, none, undefined],
    [
      "long prompts, short responses",
      2,
      4,
      { prefillMs: 400_000, decodeMs: 300_000 },
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

  test("a version keeps its last decode engine, or gets one first", () => {
    const noPrefill = engines(0, 6);
    const last = noPrefill[0] as Backend;
    last.version = "v2";
    const loadOf = (engine: Backend) => engine.id === "e0" ? 0 : 3;
    const toPrefill = planStageChange({
      engines: noPrefill,
      work: none,
      loadOf,
    });
    expect(toPrefill?.engine.id).not.toBe("e0");
    const manyPrefill = engines(4, 3);
    const only = manyPrefill[2] as Backend;
    only.version = "v2";
    const toDecode = planStageChange({ engines: manyPrefill, work: none });
    expect(toDecode?.engine.id).toBe("e2");
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
    () => retryDelayMs(2_000, 14_000, random),
  );
  expect(Math.max(...times)).toBeLessThanOrEqual(14_000 / 3);
  expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(1_500);
  expect(retryDelayMs(2_000, 600, random)).toBeLessThanOrEqual(200);
});
