import { afterEach, describe, expect, test } from "@jest/globals";
import { ManualClock, sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  EngineStage,
} from "../../backends/backend.ts";
import { BackendDirectory } from "../../backends/directory.ts";
import type { Service } from "../../config/routing_table.ts";
import type { StageWork } from "../../decide/stage_plan.ts";
import {
  type OrderedChanges,
  type OrderLease,
  OrderOutcome,
  StageBalancer,
} from "../stage_balancer.ts";

const SERVICE: Service = {
  name: "s",
  maxConnections: 1,
  engine: {
    slots: 12,
    kvTokens: 40_000,
    handleTtlMs: 500,
    stageSwitchMs: 6_000,
    maxHoldMs: 2_000,
    tokensPerEvent: 11,
  },
};

function engine(index: number, stage: EngineStage): Backend {
  return {
    id: `e${index}`,
    service: "s",
    address: "127.0.0.1:1",
    zone: "z1",
    slots: 12,
    state: BackendState.Ready,
    stage,
  };
}

let stop = new AbortController();
afterEach(() => {
  stop.abort();
  stop = new AbortController();
});

interface StartOptions {
  /** Number of engines that are listed at the start. */
  listed?: number;
  work?: StageWork;
}

function start(
  lease: (clock: ManualClock) => OrderLease | undefined,
  { listed = 6, work = { prefillMs: 0, decodeMs: 0 } }: StartOptions = {},
) {
  const clock = new ManualClock(0);
  const log = () => {};
  const directory = new BackendDirectory({ clock, log });
  const all = [0, 1, 2, 3, 4, 5].map((index) =>
    engine(index, index < 3 ? EngineStage.Prefill : EngineStage.Decode)
  );
  directory.reset(all.slice(0, listed));
  const orders: string[] = [];
  const leaseReadTimes: number[] = [];
  const orderedChanges: (OrderedChanges | undefined)[] = [];
  const suspended: string[] = [];
  const balancer = new StageBalancer({
    clock,
    log,
    directory,
    leases: {
      observe: () => {
        leaseReadTimes.push(clock.now());
        return Promise.resolve(orderedChanges.shift());
      },
      acquire: () => Promise.resolve(lease(clock)),
    },
    orders: {
      order: (target, stage, token) => {
        orders.push(`${target.id} ${stage} ${token}`);
        return Promise.resolve(OrderOutcome.Accepted);
      },
    },
    services: () => [SERVICE],
    stageWorkOf: () => work,
    loadOf: () => 0,
    suspendBackend: (target, forMs) => suspended.push(`${target.id} ${forMs}`),
    jitterMs: () => -490,
  });
  void balancer.run(stop.signal);
  return {
    clock,
    directory,
    orders,
    leaseReadTimes,
    orderedChanges,
    suspended,
  };
}

/** Advances the clock in steps, with several checks by the balancer at each. */
async function pass(clock: ManualClock, ms: number): Promise<void> {
  for (let at = 0; at < ms; at += 500) {
    clock.advance(500);
    await sleep(30);
  }
}

test("one change is ordered, and no other until it is complete", async () => {
  const { clock, orders } = start((now) => ({
    fencingToken: 41,
    validUntilMs: now.now() + 1_500,
  }));
  await pass(clock, 6_000);
  expect(orders).toEqual(["e0 decode 41"]);
});

test("nothing is ordered while engines are still joining", async () => {
  const { clock, directory, orders } = start((now) => ({
    fencingToken: 41,
    validUntilMs: now.now() + 1_500,
  }), { listed: 4 });
  await pass(clock, 1_000);
  directory.put(engine(4, EngineStage.Decode));
  await pass(clock, 1_000);
  directory.put(engine(5, EngineStage.Decode));
  await pass(clock, 1_000);
  expect(orders).toEqual([]);
  await pass(clock, 2_000);
  expect(orders).toEqual(["e0 decode 41"]);
});

test("without the lease nothing is ordered", async () => {
  const { clock, orders } = start(() => undefined);
  await pass(clock, 3_000);
  expect(orders).toEqual([]);
});

test("a lease that expired while it was being acquired is not used", async () => {
  const { clock, orders } = start((now) => ({
    fencingToken: 41,
    validUntilMs: now.now() - 1,
  }));
  await pass(clock, 3_000);
  expect(orders).toEqual([]);
});

describe("while requests are served", () => {
  const work = { prefillMs: 30_000, decodeMs: 70_000 };
  const lease = (now: ManualClock): OrderLease => ({
    fencingToken: 41,
    validUntilMs: now.now() + 1_500,
  });

  test("if all prefill engines drain, another is ordered at once, even while engines join", async () => {
    const { clock, directory, orders } = start(lease, { work });
    await pass(clock, 1_000);
    for (const index of [0, 1, 2]) {
      const state = BackendState.Draining;
      directory.put({ ...engine(index, EngineStage.Prefill), state });
    }
    await pass(clock, 500);
    directory.put(engine(6, EngineStage.Decode));
    await pass(clock, 1_500);
    expect(orders).toEqual(["e3 prefill 41"]);
  });

  test("prefill engines that disappear may be back soon, so they are replaced only after a delay", async () => {
    const { clock, directory, orders } = start(lease, { work });
    await pass(clock, 1_000);
    for (const index of [0, 1, 2]) directory.remove(`e${index}`);
    await pass(clock, 3_000);
    expect(orders).toEqual([]);
    await pass(clock, 1_500);
    expect(orders).toEqual(["e3 prefill 41"]);
  });

  test("an imbalance must last longer while both stages have engines", async () => {
    const { clock, orders } = start(lease, { work });
    await pass(clock, 6_000);
    expect(orders).toEqual([]);
    await pass(clock, 4_000);
    expect(orders).toEqual(["e0 decode 41"]);
  });
});

test("the lease is read periodically before it is needed", async () => {
  const { clock, leaseReadTimes } = start(() => undefined);
  await pass(clock, 7_000);
  expect(leaseReadTimes.length).toBeGreaterThanOrEqual(5);
  expect(leaseReadTimes.length).toBeLessThanOrEqual(8);
});

describe("an engine whose stage changes gets no work", () => {
  test("from the router that ordered the change", async () => {
    const { clock, suspended } = start((now) => ({
      fencingToken: 41,
      validUntilMs: now.now() + 1_500,
    }));
    await pass(clock, 3_000);
    expect(suspended).toEqual(["e0 9000"]);
  });

  test("from the other routers, which see the lease, unless it has changed already", async () => {
    const { clock, orderedChanges, suspended } = start(() => undefined);
    const settleMs = 9_000;
    orderedChanges.push({
      engineIds: ["e1", "e4", "gone"],
      stage: EngineStage.Decode,
      settleMs,
    });
    await pass(clock, 3_000);
    expect(suspended).toEqual(["e1 9000"]);
  });
});
