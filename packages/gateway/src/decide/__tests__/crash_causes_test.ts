import { describe, expect, test } from "@jest/globals";
import { findCrashCauses, hasAllParts } from "../crash_causes.ts";

function crash(engine: string, ...parts: string[]) {
  return { engine, parts };
}

function causesOf(...crashes: ReturnType<typeof crash>[]) {
  return findCrashCauses(crashes).map((cause) => cause.parts);
}

describe("causes of crashes", () => {
  test("one crash has no known cause", () => {
    expect(causesOf(crash("e1", "a", "b"))).toEqual([]);
  });

  test("the part that was present at most crashes is the cause", () => {
    const causes = causesOf(
      crash("e1", "a", "bad"),
      crash("e2", "b", "bad", "c"),
      crash("e3", "a", "bad"),
    );
    expect(causes).toEqual([["bad"]]);
  });

  test("parts of the same crashes are the cause together", () => {
    const [cause] = findCrashCauses([
      crash("e1", "first", "bad", "x"),
      crash("e2", "first", "bad"),
    ]);
    expect(cause?.parts).toEqual(["first", "bad"]);
    if (!cause) return;
    expect(hasAllParts(new Set(["first", "bad", "own"]), cause)).toBe(true);
    expect(hasAllParts(new Set(["first"]), cause)).toBe(false);
    expect(hasAllParts(new Set(["bad"]), cause)).toBe(false);
  });

  test("two causes are told apart", () => {
    const causes = causesOf(
      crash("e1", "bad1", "a"),
      crash("e2", "bad1"),
      crash("e3", "bad2"),
      crash("e4", "bad2", "b"),
    );
    expect(causes).toEqual([["bad1"], ["bad2"]]);
  });

  test("crashes without a common part have no known cause", () => {
    expect(causesOf(crash("e1", "a"), crash("e2", "b"), crash("e3", "c")))
      .toEqual([]);
  });
});
