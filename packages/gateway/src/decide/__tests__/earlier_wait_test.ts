import { expect, test } from "@jest/globals";
import { EarlierWait } from "../earlier_wait.ts";

test("a shorter deadline than that of first tries tells the wait before", () => {
  const wait = new EarlierWait();
  expect(wait.observe(14_000)).toBe(0);
  expect(wait.observe(13_900)).toBe(0);
  expect(wait.observe(10_400)).toBeGreaterThan(2_900);
  expect(wait.observe(undefined)).toBe(0);
});

test("shorter deadlines for good become those of first tries", () => {
  const wait = new EarlierWait();
  wait.observe(14_000);
  for (let i = 0; i < 2_000; i += 1) wait.observe(5_000);
  expect(wait.observe(5_000)).toBe(0);
});
