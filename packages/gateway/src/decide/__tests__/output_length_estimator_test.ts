import { expect, test } from "@jest/globals";
import { createRandom } from "@sassafrascleat/runtime";
import { OutputLengthEstimator } from "../output_length_estimator.ts";

function prompt(hint: number | undefined) {
  return {
    model: "m",
    promptTokens: 3_000,
    maxOutputTokens: 1_870,
    expectedOutputTokens: hint,
  };
}

/** A standard normal random number. */
function normal(random: ReturnType<typeof createRandom>): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.float()));
  return radius * Math.cos(2 * Math.PI * random.float());
}

test("uses the caller's estimate at first", () => {
  const estimator = new OutputLengthEstimator();
  expect(estimator.predictTokens(prompt(800))).toBeCloseTo(800);
});

test("predicts at most the maximum and at least one token", () => {
  const estimator = new OutputLengthEstimator();
  expect(estimator.predictTokens(prompt(9_000))).toBeLessThanOrEqual(1_870);
  expect(estimator.predictTokens(prompt(0))).toBeGreaterThanOrEqual(1);
});

test("learns to shrink noisy estimates", () => {
  const random = createRandom(11);
  const estimator = new OutputLengthEstimator();
  let learnedError = 0;
  let hintError = 0;
  for (let i = 0; i < 600; i += 1) {
    const actual = Math.exp(Math.log(700) + 0.4 * normal(random));
    const hint = actual * Math.exp(0.6 * normal(random));
    if (i >= 200) {
      const expected = estimator.predictTokens(prompt(hint));
      learnedError += Math.abs(Math.log(expected / actual));
      hintError += Math.abs(Math.log(Math.min(hint, 1_870) / actual));
    }
    estimator.learn(prompt(hint), actual);
  }
  expect(learnedError).toBeLessThan(0.8 * hintError);
});

test("learns the average length regardless of the callers' estimates", () => {
  const estimator = new OutputLengthEstimator();
  expect(estimator.meanTokens(prompt(100))).toBe(100);
  for (let i = 0; i < 50; i += 1) {
    estimator.predictTokens(prompt(i % 2 === 0 ? 400 : 800));
  }
  // Before any response has ended, the average of the estimates is used.
  expect(estimator.meanTokens(prompt(100))).toBeGreaterThan(550);
  expect(estimator.meanTokens(prompt(100))).toBeLessThan(650);
  for (let i = 0; i < 200; i += 1) {
    estimator.learn(prompt(1_800), i % 2 === 0 ? 100 : 300);
  }
  expect(estimator.meanTokens(prompt(100))).toBeGreaterThan(190);
  expect(estimator.meanTokens(prompt(100))).toBeLessThan(270);
});
