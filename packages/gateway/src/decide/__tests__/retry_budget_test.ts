import { expect, test } from "@jest/globals";
import { ManualClock } from "@sassafrascleat/runtime";
import { RetryBudget } from "../retry_budget.ts";

function create(routers: number) {
  const clock = new ManualClock(0);
  const options = {
    limits: () => ({ ratio: 0.2, slack: 52, windowMs: 10_000 }),
    routerCount: () => routers,
    clock,
    startMs: -20_000,
  };
  return { clock, budget: new RetryBudget(options) };
}

test("all routers together stay within the shared retry budget", () => {
  const routers = 8;
  const requestsOfRouter = 50;
  let taken = 0;
  for (let router = 0; router < routers; router += 1) {
    const { budget } = create(routers);
    for (let i = 0; i < requestsOfRouter; i += 1) budget.countRequest();
    while (budget.tryAcquire()) taken += 1;
  }
  expect(taken).toBeLessThanOrEqual(0.2 * routers * requestsOfRouter + 52);
  expect(taken).toBeGreaterThan(0.1 * routers * requestsOfRouter);
});

test("requests and repeated calls expire with the window", () => {
  const { clock, budget } = create(1);
  for (let i = 0; i < 100; i += 1) budget.countRequest();
  const first = budget.available;
  while (budget.tryAcquire()) { /* uses up the retry budget */ }
  expect(budget.available).toBe(0);
  clock.advance(10_001);
  expect(budget.available).toBeGreaterThan(0);
  expect(budget.available).toBeLessThan(first);
});

test("a restarted process does not use what the one before may have spent", () => {
  const clock = new ManualClock(0);
  const limits = () => ({ ratio: 0.2, slack: 52, windowMs: 10_000 });
  const options = { limits, clock };
  const routerCount = () => 1;
  const before = new RetryBudget({ ...options, routerCount, startMs: -20_000 });
  const after = new RetryBudget({ ...options, routerCount, startMs: 0 });
  let taken = 0;
  while (before.tryAcquire()) taken += 1;
  while (after.tryAcquire()) taken += 1;
  expect(taken).toBeLessThanOrEqual(52);
});

test("changed limits apply at once", () => {
  const clock = new ManualClock(0);
  const limits = { ratio: 0.2, slack: 52, windowMs: 10_000 };
  const budget = new RetryBudget({
    limits: () => limits,
    routerCount: () => 4,
    startMs: -20_000,
    clock,
  });
  expect(budget.available).toBeGreaterThan(5);
  limits.slack = 8;
  expect(budget.available).toBe(1);
});
