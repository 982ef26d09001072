/** Traces of the placement bench and the upper bound on their goodput. */
import { describe, expect, test } from "@jest/globals";
import { CHARS_PER_TOKEN } from "@sassafrascleat/protocol";
import fc from "fast-check";
import { goodputBound } from "../bound.ts";
import { Deployment, DEPLOYMENTS } from "../deployment.ts";
import { type Job, maxJobSum } from "../preemptive_schedule.ts";
import { promptText } from "../prompt_text.ts";
import { createTrace, traceDemand } from "../trace.ts";

const shape = DEPLOYMENTS[Deployment.Coop];
const options = { shape, seed: 1, durationMs: 20_000, cancelShare: 0.1 };

describe("createTrace", () => {
  test.each([0.5, 1.2])("demands load %p of the bottleneck pool", (load) => {
    const trace = createTrace({ ...options, load });
    const demand = traceDemand(trace, shape, options.durationMs);
    const highest = Math.max(demand.prefill, demand.decode);
    expect(highest).toBeGreaterThanOrEqual(load);
    expect(highest).toBeLessThan(load + 0.03);
    const arrivals = trace.map((req) => req.atMs);
    expect(arrivals).toEqual([...arrivals].sort((a, b) => a - b));
    expect(arrivals.at(-1)).toBeLessThan(options.durationMs);
  });

  test("depends only on its options", () => {
    const draw = (seed: number) => createTrace({ ...options, load: 1, seed });
    expect(draw(1)).toEqual(draw(1));
    expect(draw(1)).not.toEqual(draw(2));
  });

  test("prompts match their token counts and share their prefixes", () => {
    const trace = createTrace({ ...options, load: 0.5 });
    const [a, b] = trace.filter((req) => req.prefix === trace[0]!.prefix);
    for (const req of [a!, b!]) {
      const text = promptText(req);
      expect(text).toHaveLength(req.promptTokens * CHARS_PER_TOKEN);
      expect(text).toContain(`#len=${req.answerTokens} `);
    }
    const chars = a!.prefixTokens * CHARS_PER_TOKEN;
    expect(promptText(a!).slice(0, chars)).toBe(promptText(b!).slice(0, chars));
  });
});

/**
 * Tries every order of jobs without preemption; returns the most that meet
 * their deadlines.
 */
function maxUninterruptedJobs(jobs: readonly Job[], nowMs = 0): number {
  let most = 0;
  for (const [i, job] of jobs.entries()) {
    const endMs = Math.max(nowMs, job.releaseMs) + job.workMs;
    if (endMs > job.deadlineMs) continue;
    const rest = jobs.filter((_, k) => k !== i);
    most = Math.max(most, 1 + maxUninterruptedJobs(rest, endMs));
  }
  return most;
}

const arbitraryJob = fc.record({
  releaseMs: fc.integer({ min: 0, max: 20 }),
  windowMs: fc.integer({ min: 1, max: 15 }),
  workMs: fc.integer({ min: 1, max: 10 }),
}).map(({ releaseMs, windowMs, workMs }) => ({
  releaseMs,
  deadlineMs: releaseMs + windowMs,
  workMs,
}));

describe("upper bound", () => {
  test("is never below the result of a non-preemptive schedule", () => {
    fc.assert(
      fc.property(fc.array(arbitraryJob, { maxLength: 6 }), (jobs) => {
        expect(maxJobSum(jobs)).toBeGreaterThanOrEqual(
          maxUninterruptedJobs(jobs) - 1e-9,
        );
      }),
      { seed: 41 },
    );
  });

  test("counts only the fraction of a job that fits", () => {
    const job = { releaseMs: 0, deadlineMs: 10, workMs: 8 };
    expect(maxJobSum([job, job])).toBeCloseTo(1.25, 3);
    expect(maxJobSum([job, { ...job, releaseMs: 10, deadlineMs: 20 }])).toBe(2);
  });

  test("decreases as the same requests arrive faster", () => {
    const trace = createTrace({ ...options, load: 0.5 });
    const compressed = (factor: number) =>
      trace.map((req) => ({ ...req, atMs: req.atMs / factor }));
    const at = (factor: number) =>
      goodputBound(compressed(factor), shape).goodput;
    expect(at(1)).toBeGreaterThanOrEqual(at(2));
    expect(at(2)).toBeGreaterThan(at(3));
    expect(at(3)).toBeGreaterThan(at(6));
  });
});
