import { afterEach, expect, test } from "@jest/globals";
import { ManualClock, sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  EngineStage,
} from "../../backends/backend.ts";
import { BackendDirectory } from "../../backends/directory.ts";
import type { Service } from "../../config/routing_table.ts";
import { OrderEnd, type OrderLease, StageBalancer } from "../stage_balancer.ts";

const SERVICE: Service = {
  name: "s",
  healthCheckPath: "/",
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

function start(
  lease: (clock: ManualClock) => OrderLease | undefined,
  listed = 6,
) {
  const clock = new ManualClock(0);
  const log = () => {};
  const directory = new BackendDirectory({ clock, log });
  const all = [0, 1, 2, 3, 4, 5].map((index) =>
    engine(index, index < 3 ? EngineStage.Prefill : EngineStage.Decode)
  );
  directory.reset(all.slice(0, listed));
  const orders: string[] = [];
  const balancer = new StageBalancer({
    clock,
    log,
    directory,
    leases: { acquire: () => Promise.resolve(lease(clock)) },
    orders: {
      order: (target, stage, token) => {
        orders.push(`${target.id} ${stage} ${token}`);
        return Promise.resolve(OrderEnd.Accepted);
      },
    },
    services: () => [SERVICE],
    workOf: () => ({ readMs: 0, decodeMs: 0 }),
    jitterMs: () => -490,
  });
  void balancer.run(stop.signal);
  return { clock, directory, orders };
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
  }), 4);
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
