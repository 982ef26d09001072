import { expect, test } from "@jest/globals";
import { createRandom } from "@sassafrascleat/runtime";
import { PrefillSpeedEstimator } from "../prefill_speed.ts";
import { targetPrefillEngines } from "../stage_plan.ts";

const DEFAULT_TOKENS_PER_MS = 30;
const OVERHEAD_MS = 10;

/** Records prompts read at `tokensPerMs`; most of them wait in a queue. */
function learn(tokensPerMs: number, queuedShare: number, prompts = 200) {
  const random = createRandom(7);
  const speed = new PrefillSpeedEstimator(DEFAULT_TOKENS_PER_MS);
  for (let i = 0; i < prompts; i += 1) {
    const tokens = random.int(2_000, 8_000);
    const queueMs = random.float() < queuedShare ? 400 * random.float() : 0;
    speed.record(tokens, tokens / tokensPerMs + OVERHEAD_MS + queueMs);
  }
  return speed;
}

test("the default applies until some prompts were read", () => {
  expect(learn(55, 0, 5).tokensPerMs).toBe(DEFAULT_TOKENS_PER_MS);
});

test.each([[12, 0], [55, 0], [55, 0.6], [200, 0.6]])(
  "engines that read %d tokens per ms are recognized when %d of the prompts queue",
  (tokensPerMs, queuedShare) => {
    const learned = learn(tokensPerMs, queuedShare).tokensPerMs;
    expect(learned).toBeGreaterThan(tokensPerMs * 0.6);
    expect(learned).toBeLessThan(tokensPerMs);
  },
);

test("fast prefill engines leave more engines to decode", () => {
  const engines = Array.from({ length: 24 }, (_, index) => ({
    id: `e${index}`,
    service: "s",
    address: "127.0.0.1:1",
    zone: "z",
    slots: 12,
    state: "ready" as never,
    version: "v1",
  }));
  const promptTokens = 5_200;
  const decodeMs = 333;
  const generations = 200;
  const targetAt = (tokensPerMs: number) =>
    targetPrefillEngines({
      engines,
      work: {
        prefillMs: generations * promptTokens / tokensPerMs,
        decodeMs: generations * decodeMs,
      },
    });
  expect(targetAt(learn(55, 0.6).tokensPerMs)).toBeLessThan(7);
  expect(targetAt(DEFAULT_TOKENS_PER_MS)).toBeGreaterThan(8);
});
