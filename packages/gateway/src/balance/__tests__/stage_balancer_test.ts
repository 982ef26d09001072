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
  OrderEnd,
  type OrderLease,
  type OrderPurpose,
  StageBalancer,
} from "../stage_balancer.ts";

const SERVICE: Service = {
  name: "s",
  maxConnections: 1,
  engine: {
    slots: 12,
    kvTokens: 40_000,
    handleLifeMs: 500,
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
  /** Engines that are listed from the start. */
  listed?: number;
  work?: StageWork;
}

function start(
  lease: (clock: ManualClock) => OrderLease | undefined,
  { listed = 6, work = { readMs: 0, decodeMs: 0 } }: StartOptions = {},
) {
  const clock = new ManualClock(0);
  const log = () => {};
  const directory = new BackendDirectory({ clock, log });
  const all = [0, 1, 2, 3, 4, 5].map((index) =>
    engine(index, index < 3 ? EngineStage.Prefill : EngineStage.Decode)
  );
  directory.reset(all.slice(0, listed));
  const orders: string[] = [];
  const looks: number[] = [];
  const seen: (OrderPurpose | undefined)[] = [];
  const aside: string[] = [];
  const balancer = new StageBalancer({
    clock,
    log,
    directory,
    leases: {
      observe: () => {
        looks.push(clock.now());
        return Promise.resolve(seen.shift());
      },
      acquire: () => Promise.resolve(lease(clock)),
    },
    orders: {
      order: (target, stage, token) => {
        orders.push(`${target.id} ${stage} ${token}`);
        return Promise.resolve(OrderEnd.Accepted);
      },
    },
    services: () => [SERVICE],
    workOf: () => work,
    loadOf: () => 0,
    setAside: (target, forMs) => aside.push(`${target.id} ${forMs}`),
    jitterMs: () => -490,
  });
  void balancer.run(stop.signal);
  return { clock, directory, orders, looks, seen, aside };
}

/** Lets the balancer check several times at each step of the clock. */
async function pass(clock: ManualClock, ms: number): Promise<void> {
  for (let at = 0; at < ms; at += 500) {
    clock.advance(500);
    await sleep(30);
  }
}

test("one change is ordered, and nothing while it settles", async () => {
  const { clock, orders } = start((now) => ({
    fencingToken: 41,
    validUntilMs: now.now() + 1_500,
  }));
  await pass(clock, 6_000);
  expect(orders).toEqual(["e0 decode 41"]);
});

test("nothing is ordered while engines still join", async () => {
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

test("a lease that ran out while it was taken isn't used", async () => {
  const { clock, orders } = start((now) => ({
    fencingToken: 41,
    validUntilMs: now.now() - 1,
  }));
  await pass(clock, 3_000);
  expect(orders).toEqual([]);
});

describe("while requests are served", () => {
  const work = { readMs: 30_000, decodeMs: 70_000 };
  const lease = (now: ManualClock): OrderLease => ({
    fencingToken: 41,
    validUntilMs: now.now() + 1_500,
  });

  test("the last prefill engine leaves: another is ordered at once, also while engines join", async () => {
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

  test("prefill engines that vanish may be back soon, but not for ever", async () => {
    const { clock, directory, orders } = start(lease, { work });
    await pass(clock, 1_000);
    for (const index of [0, 1, 2]) directory.remove(`e${index}`);
    await pass(clock, 3_000);
    expect(orders).toEqual([]);
    await pass(clock, 1_500);
    expect(orders).toEqual(["e3 prefill 41"]);
  });

  test("a difference has to last while engines of both stages are left", async () => {
    const { clock, orders } = start(lease, { work });
    await pass(clock, 6_000);
    expect(orders).toEqual([]);
    await pass(clock, 4_000);
    expect(orders).toEqual(["e0 decode 41"]);
  });
});

test("the lease is looked at before it is needed, now and then", async () => {
  const { clock, looks } = start(() => undefined);
  await pass(clock, 7_000);
  expect(looks.length).toBeGreaterThanOrEqual(5);
  expect(looks.length).toBeLessThanOrEqual(8);
});

describe("an engine whose stage changes takes no work", () => {
  test("of the entry that ordered it", async () => {
    const { clock, aside } = start((now) => ({
      fencingToken: 41,
      validUntilMs: now.now() + 1_500,
    }));
    await pass(clock, 3_000);
    expect(aside).toEqual(["e0 9000"]);
  });

  test("of the others, which see the lease, unless it has changed already", async () => {
    const { clock, seen, aside } = start(() => undefined);
    const settleMs = 9_000;
    seen.push({
      engineIds: ["e1", "e4", "gone"],
      stage: EngineStage.Decode,
      settleMs,
    });
    await pass(clock, 3_000);
    expect(aside).toEqual(["e1 9000"]);
  });
});
