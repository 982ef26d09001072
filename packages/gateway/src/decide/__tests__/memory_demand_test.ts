/**
 * Replays bursts on one engine with the real decision: generations of random
 * length that begin together, grow, and are preempted when memory runs out.
 */
import { expect, test } from "@jest/globals";
import { createRandom, type Random } from "@sassafrascleat/runtime";
import { resolveGatewayPolicy } from "../../policy.ts";
import { memoryDemand } from "../memory_demand.ts";

interface Load {
  kvTokens: number;
  slots: number;
  promptTokens: number;
  outputTokens: number;
  /** Duration of one token for each generation, in milliseconds. */
  tokenMs: number;
  /** Arrivals per second outside of bursts. */
  perSecond: number;
}

interface Generation {
  promptTokens: number;
  outputTokens: number;
  generatedTokens: number;
  reservedTokens: number;
  preempted: boolean;
}

const STEP_MS = 20;
const DURATION_MS = 120_000;
const BURST_PERIOD_MS = 12_000;
const BURST_MS = 4_000;
const BURST_FACTOR = 3;

function spread(mean: number, random: Random): number {
  const uniform = random.float() + random.float() + random.float() - 1.5;
  return mean * Math.exp(uniform);
}

const usedBy = (it: Generation) =>
  Math.max(it.reservedTokens, it.promptTokens + it.generatedTokens);

/** Replays the load; the shares are of all generations that ended. */
function replay(load: Load, overrides: Partial<typeof POLICY> = {}) {
  const random = createRandom(11);
  const policy = { ...POLICY, ...overrides };
  let running: Generation[] = [];
  let waiting: Generation[] = [];
  let done = 0;
  let preemptions = 0;
  const free = () =>
    load.kvTokens - running.reduce((sum, it) => sum + usedBy(it), 0);
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const burst = nowMs % BURST_PERIOD_MS < BURST_MS ? BURST_FACTOR : 1;
    if (random.float() < load.perSecond * burst * STEP_MS / 1_000) {
      const outputTokens = spread(load.outputTokens, random);
      const promptTokens = spread(load.promptTokens, random);
      const demand = memoryDemand({
        promptTokens,
        expectedOutputTokens: 0.6 * spread(outputTokens, random) +
          0.4 * load.outputTokens,
        meanOutputTokens: load.outputTokens,
        kvTokens: load.kvTokens,
        ...policy,
      });
      const fits = demand.reserveTokens + demand.marginTokens <= free();
      if (fits && running.length < load.slots && waiting.length === 0) {
        running.push({
          promptTokens,
          outputTokens,
          generatedTokens: 0,
          reservedTokens: demand.reserveTokens,
          preempted: false,
        });
      }
    }
    for (const it of running) it.generatedTokens += STEP_MS / load.tokenMs;
    done += running.filter((it) => it.generatedTokens >= it.outputTokens)
      .length;
    running = running.filter((it) => it.generatedTokens < it.outputTokens);
    while (free() < 0) {
      const newest = running.findLast((it) =>
        it.promptTokens + it.generatedTokens > it.reservedTokens
      );
      if (!newest) break;
      running = running.filter((it) => it !== newest);
      waiting.push({ ...newest, reservedTokens: 0, preempted: true });
      preemptions += 1;
    }
    const [next] = waiting;
    if (next && usedBy(next) <= free()) {
      waiting = waiting.slice(1);
      running.push(next);
    }
  }
  return { done, preemptedShare: preemptions / done };
}

const { outputReserveRatio, memoryMarginResponses } = resolveGatewayPolicy();
const POLICY = { outputReserveRatio, memoryMarginResponses };

const SHORT_OUTPUTS: Load = {
  kvTokens: 26_000,
  slots: 12,
  promptTokens: 3_200,
  outputTokens: 800,
  tokenMs: 4.2,
  perSecond: 1.6,
};
const LONG_OUTPUTS: Load = {
  kvTokens: 64_000,
  slots: 12,
  promptTokens: 5_200,
  outputTokens: 4_300,
  tokenMs: 0.8,
  perSecond: 1.6,
};
const MANY_SLOTS: Load = { ...LONG_OUTPUTS, kvTokens: 102_000, slots: 24 };

test.each([
  ["outputs that are short against the prompt", SHORT_OUTPUTS],
  ["outputs nearly as long as the prompt", LONG_OUTPUTS],
  ["many generations at an engine", MANY_SLOTS],
])(
  "in bursts with %s, few generations are preempted and most memory is used",
  (_name, load) => {
    const { done, preemptedShare } = replay(load);
    expect(preemptedShare).toBeLessThan(0.04);
    const reserving = replay(load, {
      outputReserveRatio: 1.25,
      memoryMarginResponses: 0.5,
    });
    expect(done).toBeGreaterThan(reserving.done);
  },
);

test("a margin of a tenth of the memory is too small for long outputs", () => {
  const margin = 0.1 * LONG_OUTPUTS.kvTokens / LONG_OUTPUTS.outputTokens;
  const small = replay(LONG_OUTPUTS, {
    outputReserveRatio: 0.2,
    memoryMarginResponses: margin,
  });
  const { preemptedShare } = replay(LONG_OUTPUTS);
  expect(preemptedShare).toBeLessThan(small.preemptedShare / 2);
});

test("the demand never exceeds an engine's memory by its margin alone", () => {
  const demand = memoryDemand({
    promptTokens: 9_000,
    expectedOutputTokens: 9_000,
    meanOutputTokens: 9_000,
    kvTokens: 10_000,
    ...POLICY,
  });
  expect(demand.reserveTokens).toBeLessThanOrEqual(10_000);
  expect(demand.marginTokens).toBeLessThanOrEqual(2_500);
});
