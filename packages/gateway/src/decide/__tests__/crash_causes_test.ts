import { describe, expect, test } from "@jest/globals";
import { findCrashCauses, isHarmful } from "../crash_causes.ts";

function crash(engine: string, ...keys: string[]) {
  return { engine, keys };
}

function causesOf(...crashes: ReturnType<typeof crash>[]) {
  return findCrashCauses(crashes).map((cause) => cause.combinations);
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
    expect(causes).toEqual([[["bad"]]]);
  });

  test("parts of the same crashes are the cause together", () => {
    const [cause] = findCrashCauses([
      crash("e1", "first", "bad", "x"),
      crash("e2", "first", "bad"),
    ]);
    expect(cause?.combinations).toEqual([["first", "bad"]]);
    if (!cause) return;
    expect(isHarmful(new Set(["first", "bad", "own"]), cause)).toBe(true);
    expect(isHarmful(new Set(["first"]), cause)).toBe(false);
    expect(isHarmful(new Set(["bad"]), cause)).toBe(false);
  });

  test("two causes are told apart", () => {
    const causes = causesOf(
      crash("e1", "bad1", "a"),
      crash("e2", "bad1"),
      crash("e3", "bad2"),
      crash("e4", "bad2", "b"),
    );
    expect(causes).toEqual([[["bad1"]], [["bad2"]]]);
  });

  test("crashes without a common part have no known cause", () => {
    expect(causesOf(crash("e1", "a"), crash("e2", "b"), crash("e3", "c")))
      .toEqual([]);
  });

  test("a request that is lost at each crash is told apart from bystanders", () => {
    const [cause] = findCrashCauses([
      crash("e1", "#bad", "first"),
      crash("e1", "#one", "first"),
      crash("e2", "#two", "first"),
      crash("e2", "#bad", "first"),
    ]);
    expect(cause?.combinations).toEqual([["#bad", "first"]]);
    if (!cause) return;
    expect(isHarmful(new Set(["#bad", "first"]), cause)).toBe(true);
    expect(isHarmful(new Set(["#one", "first"]), cause)).toBe(false);
    expect(isHarmful(new Set(["#new", "first"]), cause)).toBe(false);
  });

  test("two requests that are lost at the same crashes are both harmful", () => {
    const [cause] = findCrashCauses([
      crash("e1", "#bad", "a"),
      crash("e1", "#other", "b"),
      crash("e2", "#other", "b"),
      crash("e2", "#bad", "a"),
    ]);
    expect(cause?.combinations).toEqual([["#bad", "a"], ["#other", "b"]]);
  });

  test("several requests lost with one server are one crash", () => {
    expect(causesOf(crash("e1", "#a", "x"), crash("e1", "#b", "x"))).toEqual(
      [],
    );
  });
});
