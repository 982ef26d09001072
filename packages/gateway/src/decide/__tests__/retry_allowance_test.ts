import { expect, test } from "@jest/globals";
import { ManualClock } from "@sassafrascleat/runtime";
import { RetryAllowance } from "../retry_allowance.ts";

function create(routers: number) {
  const clock = new ManualClock(0);
  const options = {
    limits: () => ({ ratio: 0.2, slack: 52, windowMs: 10_000 }),
    entries: () => routers,
    clock,
    startMs: -20_000,
  };
  return { clock, allowance: new RetryAllowance(options) };
}

test("all routers together stay within the shared allowance", () => {
  const routers = 8;
  const requestsOfRouter = 50;
  let taken = 0;
  for (let router = 0; router < routers; router += 1) {
    const { allowance } = create(routers);
    for (let i = 0; i < requestsOfRouter; i += 1) allowance.countRequest();
    while (allowance.take()) taken += 1;
  }
  expect(taken).toBeLessThanOrEqual(0.2 * routers * requestsOfRouter + 52);
  expect(taken).toBeGreaterThan(0.1 * routers * requestsOfRouter);
});

test("requests and repeated calls expire with the window", () => {
  const { clock, allowance } = create(1);
  for (let i = 0; i < 100; i += 1) allowance.countRequest();
  const first = allowance.available;
  while (allowance.take()) { /* uses up the allowance */ }
  expect(allowance.available).toBe(0);
  clock.advance(10_001);
  expect(allowance.available).toBeGreaterThan(0);
  expect(allowance.available).toBeLessThan(first);
});

test("a restarted process does not use what the one before may have spent", () => {
  const clock = new ManualClock(0);
  const limits = () => ({ ratio: 0.2, slack: 52, windowMs: 10_000 });
  const options = { limits, clock };
  const entries = () => 1;
  const before = new RetryAllowance({ ...options, entries, startMs: -20_000 });
  const after = new RetryAllowance({ ...options, entries, startMs: 0 });
  let taken = 0;
  while (before.take()) taken += 1;
  while (after.take()) taken += 1;
  expect(taken).toBeLessThanOrEqual(52);
});

test("changed limits apply at once", () => {
  const clock = new ManualClock(0);
  const limits = { ratio: 0.2, slack: 52, windowMs: 10_000 };
  const allowance = new RetryAllowance({
    limits: () => limits,
    entries: () => 4,
    startMs: -20_000,
    clock,
  });
  expect(allowance.available).toBeGreaterThan(5);
  limits.slack = 8;
  expect(allowance.available).toBe(1);
});
