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
    version: "v1",
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
  /** Number of engines at the prefill stage at the start. */
  prefillEngines?: number;
  /** Outcome of each order. */
  outcome?: OrderOutcome;
  decodeMemoryShort?: boolean;
}

function start(
  lease: (clock: ManualClock) => OrderLease | undefined,
  {
    listed = 6,
    work = { prefillMs: 0, decodeMs: 0 },
    prefillEngines = 3,
    outcome = OrderOutcome.Accepted,
    decodeMemoryShort = false,
  }: StartOptions = {},
) {
  const clock = new ManualClock(0);
  const log = () => {};
  const directory = new BackendDirectory({ clock, log });
  const all = [0, 1, 2, 3, 4, 5].map((index) =>
    engine(
      index,
      index < prefillEngines ? EngineStage.Prefill : EngineStage.Decode,
    )
  );
  directory.reset(all.slice(0, listed));
  const orders: string[] = [];
  const orderTimes: number[] = [];
  const leaseTimes: number[] = [];
  const suspended: string[] = [];
  const resumed: string[] = [];
  const balancer = new StageBalancer({
    clock,
    log,
    directory,
    leases: {
      acquire: () => {
        leaseTimes.push(clock.now());
        return Promise.resolve(lease(clock));
      },
    },
    orders: {
      order: (target, stage, token) => {
        orders.push(`${target.id} ${stage} ${token}`);
        orderTimes.push(clock.now());
        return Promise.resolve(outcome);
      },
    },
    services: () => [SERVICE],
    stageWorkOf: () => work,
    loadOf: () => 0,
    suspendBackend: (target, forMs) => suspended.push(`${target.id} ${forMs}`),
    resumeBackend: (target) => resumed.push(target.id),
    decodeMemoryShort: () => decodeMemoryShort,
    jitterMs: () => -490,
  });
  void balancer.run(stop.signal);
  return {
    clock,
    balancer,
    directory,
    orders,
    orderTimes,
    leaseTimes,
    suspended,
    resumed,
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
    validUntilMs: now.now() + 4_500,
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
    await pass(clock, 6_000);
    expect(orders).toEqual(["e0 decode 41"]);
  });

  test("the engines are announced before the orders, so that reservations there are used or expire", async () => {
    const { clock, leaseTimes, orderTimes, suspended } = start(lease, { work });
    await pass(clock, 9_500);
    expect(leaseTimes).toHaveLength(1);
    expect(suspended).toEqual(["e0 15000"]);
    expect(orderTimes).toEqual([]);
    await pass(clock, 3_000);
    const announcedMs = orderTimes[0]! - leaseTimes[0]!;
    expect(announcedMs).toBeGreaterThanOrEqual(2_000);
    expect(announcedMs).toBeLessThan(4_500);
  });

  test("an announced order whose lease expired meanwhile is not sent", async () => {
    const expiring = (now: ManualClock): OrderLease => ({
      fencingToken: 41,
      validUntilMs: now.now() + 1_900,
    });
    const { clock, orders, resumed } = start(expiring, { work });
    await pass(clock, 13_000);
    expect(orders).toEqual([]);
    expect(resumed).toEqual(["e0"]);
  });

  test("an engine that rejects its order is used again at once", async () => {
    const outcome = OrderOutcome.Rejected;
    const { clock, resumed } = start(lease, { work, outcome });
    await pass(clock, 13_000);
    expect(resumed).toEqual(["e0"]);
  });

  test("no decode engine is taken away in a burst that lacks decode memory", async () => {
    const longPrompts = { prefillMs: 80_000, decodeMs: 40_000 };
    const options = { work: longPrompts, prefillEngines: 1 };
    const burst = start(lease, { ...options, decodeMemoryShort: true });
    await pass(burst.clock, 13_000);
    expect(burst.orders).toEqual([]);
    stop.abort();
    stop = new AbortController();
    const calm = start(lease, options);
    await pass(calm.clock, 13_000);
    expect(calm.orders).toEqual(["e1 prefill 41"]);
  });
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
    const { balancer, suspended } = start(() => undefined);
    const settleMs = 9_000;
    balancer.noteOrderedChanges({
      engineIds: ["e1", "e4", "gone"],
      stage: EngineStage.Decode,
      settleMs,
    });
    expect(suspended).toEqual(["e1 9000"]);
  });

  test("while the store is away, the change is assumed once it has settled", async () => {
    const { balancer, clock, directory } = start(() => undefined);
    const orderedChanges = {
      engineIds: ["e4"],
      stage: EngineStage.Prefill,
      settleMs: 9_000,
    };
    balancer.noteOrderedChanges(orderedChanges);
    await pass(clock, 10_000);
    expect(directory.get("e4")?.stage).toBe(EngineStage.Decode);
    directory.markStoreUnreachable();
    balancer.noteOrderedChanges(orderedChanges);
    await pass(clock, 8_500);
    expect(directory.get("e4")?.stage).toBe(EngineStage.Decode);
    await pass(clock, 1_500);
    expect(directory.get("e4")?.stage).toBe(EngineStage.Prefill);
    directory.put(engine(4, EngineStage.Decode));
    expect(directory.get("e4")?.stage).toBe(EngineStage.Decode);
  });
});
