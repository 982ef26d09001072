/** Parts of the simulated engine on whose behaviour other tests rely. */
import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  expectedLength,
  expectedText,
  expectedToken,
} from "../engine/index.ts";
import { PrefixCache } from "../engine/prefix_cache.ts";
import { SharedLink } from "../engine/shared_link.ts";

test("the expected output is its tokens joined, up to the limit", () => {
  fc.assert(
    fc.property(fc.string(), fc.nat(300), fc.nat(300), (prompt, max, cut) => {
      const length = expectedLength(prompt, max);
      let text = "";
      for (let i = 0; i < length; i++) text += expectedToken(prompt, i);
      expect(text).toBe(expectedText(prompt, max));
      const remaining = max - Math.min(cut, length);
      expect(Math.min(cut, length) + remaining).toBe(max);
      expect(length).toBeLessThanOrEqual(max);
    }),
    { seed: 11, numRuns: 50 },
  );
  expect(expectedLength("x #len=7 y", 100)).toBe(7);
  expect(expectedLength("x #len=7 y", 5)).toBe(5);
});

test("a stalled link transfers nothing until it is resumed", async () => {
  const link = new SharedLink(1_000_000);
  const stop = new AbortController();
  link.stall(true);
  const aborted = link.transfer(10, stop.signal);
  const completed = link.transfer(10, new AbortController().signal);
  stop.abort();
  expect(await aborted).toBe(false);
  link.stall(false);
  expect(await completed).toBe(true);
});

test("concurrent transfers share the rate of a link", async () => {
  const link = new SharedLink(100_000);
  const { signal } = new AbortController();
  const order: string[] = [];
  const run = async (name: string, tokens: number) => {
    await link.transfer(tokens, signal);
    order.push(name);
  };
  await Promise.all([run("large", 6_000), run("small", 1_000)]);
  expect(order).toEqual(["small", "large"]);
});

test("a prefix cache evicts the least recently used pieces", () => {
  const cache = new PrefixCache(3, 0, 0, 1);
  cache.add(["a", "b"]);
  cache.add(["c"]);
  cache.add(["a"]);
  cache.add(["d"]);
  expect(cache.snapshot().pieces.sort()).toEqual(["a", "c", "d"]);
  expect(cache.countLeadingHits(["a", "b", "c"])).toBe(1);
  expect(cache.events(2).map((event) => event.number)).toEqual([3]);
});

test("lost cache events leave gaps in the event numbers", () => {
  const cache = new PrefixCache(1_000, 0, 0.5, 1);
  for (let i = 0; i < 50; i++) cache.add([`p${i}`]);
  const numbers = cache.events(0).map((event) => event.number);
  expect(numbers.length).toBeGreaterThan(0);
  expect(numbers.length).toBeLessThan(50);
  expect(cache.snapshot()).toMatchObject({ number: 50 });
});
