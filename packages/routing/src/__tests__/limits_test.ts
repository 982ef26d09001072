/** Rate limits, the retry budget and retry decisions. */
import { describe, expect, test } from "@jest/globals";
import {
  NotRunReason,
  RefusalReason,
  StreamFailure,
} from "@sassafrascleat/protocol";
import { createRandom } from "@sassafrascleat/runtime";
import fc from "fast-check";
import {
  createRateLimiter,
  createRetryBudget,
  type FailedAttempt,
  RetryAction,
  RetryCause,
  retryDecision,
} from "../index.ts";

describe("createRateLimiter", () => {
  const limit = { requestsPerSecond: 10, burst: 2, concurrent: 3 };

  test("allows a burst, then the sustained rate, and returns the delay until the next token", () => {
    const limiter = createRateLimiter();
    expect(limiter.acquire("a", limit, 0)).toBeUndefined();
    expect(limiter.acquire("a", limit, 0)).toBeUndefined();
    const refusal = limiter.acquire("a", limit, 0);
    expect(refusal).toMatchObject({
      reason: NotRunReason.RateLimited,
      retryAfterMs: 100,
    });
    expect(limiter.acquire("b", limit, 0)).toBeUndefined();
    expect(limiter.acquire("a", limit, 100)).toBeUndefined();
  });

  test("limits the requests in progress until one is released", () => {
    const limiter = createRateLimiter();
    for (const at of [0, 1_000, 2_000]) limiter.acquire("a", limit, at);
    expect(limiter.acquire("a", limit, 9_000)?.reason)
      .toBe(NotRunReason.RateLimited);
    limiter.release("a");
    expect(limiter.acquire("a", limit, 9_000)).toBeUndefined();
  });

  test("never exceeds the burst and the rate, even when idle customers are dropped", () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 300 }), { maxLength: 80 });
    fc.assert(
      fc.property(gaps, (drawn) => {
        const limiter = createRateLimiter({ maxIdleCustomers: 1 });
        let nowMs = 0;
        let allowed = 0;
        for (const [i, gapMs] of drawn.entries()) {
          nowMs += gapMs;
          limiter.acquire(`other${i}`, limit, nowMs);
          limiter.release(`other${i}`);
          if (!limiter.acquire("a", limit, nowMs)) allowed += 1;
          limiter.release("a");
        }
        expect(allowed).toBeLessThanOrEqual(2 + nowMs / 100 + 1e-6);
      }),
      { seed: 21 },
    );
  });
});

describe("retries", () => {
  const failed: FailedAttempt = {
    reason: StreamFailure.EngineLost,
    attempt: 1,
    maxAttempts: 3,
    remainingMs: 1_000,
    repeatable: true,
  };

  test("retries are limited to the ratio of the requests plus the burst", () => {
    const budget = createRetryBudget(0.1, {
      random: createRandom(1),
      burst: 5,
    });
    let retries = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.deposit();
      if (budget.withdraw()) retries += 1;
    }
    expect(retries).toBeGreaterThanOrEqual(95);
    expect(retries).toBeLessThanOrEqual(105);
  });

  test("backoff is jittered and stays between half the base delay and the maximum", () => {
    const budget = createRetryBudget(1, { random: createRandom(2) });
    const waits = [1, 2, 3, 20].map((attempt) => budget.backoffMs(attempt));
    expect(waits[0]).toBeGreaterThanOrEqual(10);
    expect(waits[3]).toBeLessThanOrEqual(1_000);
    expect(waits[3]).toBeGreaterThanOrEqual(500);
  });

  test.each([
    [{}, RetryAction.Retry, RetryCause.Transient],
    [{ repeatable: false }, RetryAction.GiveUp, RetryCause.NotRepeatable],
    [{ attempt: 3 }, RetryAction.GiveUp, RetryCause.AttemptsSpent],
    [{ remainingMs: 0 }, RetryAction.GiveUp, RetryCause.NoTimeLeft],
    [
      { reason: RefusalReason.TooLarge },
      RetryAction.GiveUp,
      RetryCause.Permanent,
    ],
    [
      { reason: RefusalReason.Full, retryAfterMs: 1_000 },
      RetryAction.GiveUp,
      RetryCause.NoTimeLeft,
    ],
  ])("returns the action and cause for %o", (change, action, cause) => {
    const budget = createRetryBudget(1, { random: createRandom(3) });
    expect(retryDecision({ ...failed, ...change }, budget))
      .toMatchObject({ action, cause });
  });

  test("a new budget allows retries of all requests of a lost full decode engine", () => {
    const budget = createRetryBudget(0.15, { random: createRandom(5) });
    const decisions = Array.from(
      { length: 20 },
      () => retryDecision(failed, budget).action,
    );
    expect(new Set(decisions)).toEqual(new Set([RetryAction.Retry]));
  });

  test("an exhausted budget ends the request", () => {
    const budget = createRetryBudget(0, { random: createRandom(4), burst: 1 });
    expect(retryDecision(failed, budget).action).toBe(RetryAction.Retry);
    expect(retryDecision(failed, budget).cause).toBe(RetryCause.BudgetSpent);
  });
});
