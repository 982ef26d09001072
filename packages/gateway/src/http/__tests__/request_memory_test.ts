import { expect, test } from "@jest/globals";
import { RequestMemory } from "../request_memory.ts";

test("connections leave less of the heap for requests", () => {
  const memory = new RequestMemory(2_000_000);
  for (let i = 0; i < 100; i += 1) memory.holdConnection();
  const held = Array.from({ length: 20 }, () => memory.hold([]));
  expect(held.filter(Boolean)).toHaveLength(11);
  for (let i = 0; i < 100; i += 1) memory.releaseConnection();
  expect(memory.fits(0, 0)).toBe(true);
});

test("requests take half of the heap, until they are over", () => {
  const memory = new RequestMemory(2_000_000);
  const headers = ["a", "b".repeat(64_000)];
  const held = Array.from({ length: 20 }, () => memory.hold(headers));
  expect(held.filter(Boolean)).toHaveLength(12);
  memory.release(headers);
  expect(memory.hold(headers)).toBe(true);
  for (let i = 0; i < 12; i += 1) memory.release(headers);
  expect(memory.usedBytes).toBe(0);
});
