import { describe, expect, test } from "@jest/globals";
import { RouteKind } from "../../config/routing_table.ts";
import { isAcceptedInDrain } from "../drain_admission.ts";

const PLAIN = [RouteKind.Safe, RouteKind.Unsafe];
const ALL = [...PLAIN, RouteKind.Stream];
const START_MS = 1_000;

function accepts(
  kind: RouteKind,
  deadlineAtMs: number,
  nowMs: number,
  endMs = START_MS + 7_500,
): boolean {
  const drain = { startMs: START_MS, endMs };
  return isAcceptedInDrain({ kind, deadlineAtMs }, drain, nowMs);
}

describe("a draining router", () => {
  test.each(ALL)("accepts a %s request that ends in time", (kind) => {
    expect(accepts(kind, 8_500, 8_400)).toBe(true);
  });

  test.each(PLAIN)("rejects a %s request that may not end in time", (kind) => {
    expect(accepts(kind, 8_501, 7_900)).toBe(false);
    expect(accepts(kind, 8_501, START_MS)).toBe(false);
  });

  test("accepts long streams only at first", () => {
    expect(accepts(RouteKind.Stream, 20_000, START_MS + 2_500)).toBe(true);
    expect(accepts(RouteKind.Stream, 20_000, START_MS + 2_501)).toBe(false);
  });

  test("accepts long streams for a third of a short drain", () => {
    const endMs = START_MS + 3_000;
    expect(accepts(RouteKind.Stream, 20_000, 2_000, endMs)).toBe(true);
    expect(accepts(RouteKind.Stream, 20_000, 2_001, endMs)).toBe(false);
  });

  test.each(ALL)("without time rejects a %s request", (kind) => {
    expect(accepts(kind, 1_500, START_MS + 1, START_MS)).toBe(false);
  });

  test.each(ALL)("that does not exit accepts a %s request", (kind) => {
    expect(accepts(kind, 99_000, 90_000, Infinity)).toBe(true);
  });
});
