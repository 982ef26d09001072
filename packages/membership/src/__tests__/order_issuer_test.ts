/** Tests orders derived from configuration, with concurrent issuers, lost answers and restarts. */
import { describe, expect, test } from "@jest/globals";
import { type ConfigView, type Pool, poolSchema } from "@sassafrascleat/config";
import {
  BackendRole,
  type BackendServer,
  HostState,
  type OrderReply,
  type OrderRequest,
  OrderState,
} from "@sassafrascleat/protocol";
import { createRandom, ManualClock } from "@sassafrascleat/runtime";
import { createOrderIssuer, type HostView } from "../index.ts";

const neverAborted = new AbortController().signal;

function pool(modelVersion: string, maxConcurrentLoads: number): Pool {
  return poolSchema.parse({
    name: "decode",
    office: "north",
    role: BackendRole.Decode,
    model: "m",
    modelVersion,
    maxConcurrentLoads,
  });
}

const servers = Array.from({ length: 12 }, (_, index): BackendServer => ({
  name: `s${index}`,
  office: "north",
  availabilityZone: "a",
  pool: "decode",
  role: BackendRole.Decode,
  sidecarAddress: "http://127.0.0.1:1",
  engineAddress: "http://127.0.0.1:2",
  state: HostState.Live,
}));

const hosts = { all: () => servers } as unknown as HostView;

/** Configuration with one pool, which tests modify. */
class SinglePoolConfig {
  sequence = 10;
  pool = pool("v1", 2);

  list() {
    return [{ version: 1, object: this.pool }];
  }
}

/** Sidecars that check fencing numbers and take 3 ticks to load. */
class FakeSidecars {
  readonly loaded = new Map<string, string>();
  readonly incarnation = new Map<string, number>();
  peakConcurrentLoads = 0;
  orders = 0;
  readonly #fencingNumbers = new Map<string, number>();
  readonly #loading = new Map<string, { version: string; ticks: number }>();

  order(name: string, req: OrderRequest): OrderReply {
    this.orders += 1;
    const highest = this.#fencingNumbers.get(name) ?? 0;
    if (req.fencingNumber < highest) {
      return this.#reply(name, OrderState.Refused);
    }
    this.#fencingNumbers.set(name, req.fencingNumber);
    if (this.loaded.get(name) === req.version) {
      return this.#reply(name, OrderState.Done);
    }
    if (this.#loading.get(name)?.version !== req.version) {
      this.#loading.set(name, { version: req.version, ticks: 3 });
      this.peakConcurrentLoads = Math.max(
        this.peakConcurrentLoads,
        this.#loading.size,
      );
    }
    return this.#reply(name, OrderState.Running);
  }

  tick(): void {
    for (const [name, load] of this.#loading) {
      load.ticks -= 1;
      if (load.ticks > 0) continue;
      this.loaded.set(name, load.version);
      this.#loading.delete(name);
    }
  }

  restart(name: string): void {
    this.loaded.delete(name);
    this.incarnation.set(name, (this.incarnation.get(name) ?? 0) + 1);
  }

  #reply(name: string, state: OrderState): OrderReply {
    return {
      incarnation: `${name}-${this.incarnation.get(name) ?? 0}`,
      state,
      fencingNumber: this.#fencingNumbers.get(name) ?? 0,
      message: "",
    };
  }
}

function setUp(issuerCount: number) {
  const config = new SinglePoolConfig();
  const sidecars = new FakeSidecars();
  const clock = new ManualClock();
  const create = (view = config, lossy = false) => {
    const random = createRandom(3);
    return createOrderIssuer({
      config: view as unknown as ConfigView,
      hosts,
      office: "north",
      clock,
      random: createRandom(1),
      send: (server, req) => {
        const reply = sidecars.order(server.name, req);
        const isLost = lossy && random.float() < 0.3;
        return Promise.resolve(isLost ? undefined : reply);
      },
    });
  };
  const issuers = Array.from({ length: issuerCount }, () => create());
  const run = async (ticks: number, active = issuers) => {
    for (let tick = 0; tick < ticks; tick++) {
      for (const issuer of active) await issuer.tick(neverAborted);
      sidecars.tick();
      clock.advance(1_000);
    }
  };
  return { config, sidecars, clock, create, issuers, run };
}

const versions = (sidecars: FakeSidecars) =>
  servers.map((server) => sidecars.loaded.get(server.name));

describe("order issuer", () => {
  test("loads the model of a pool within its limit of concurrent loads", async () => {
    const { issuers, run, sidecars } = setUp(1);
    await run(60);
    expect(versions(sidecars)).toEqual(servers.map(() => "v1"));
    expect(sidecars.peakConcurrentLoads).toBe(2);
    expect(issuers[0]!.progress()).toEqual([{
      pool: "decode",
      fencingNumber: 10,
      servers: 12,
      done: 12,
      running: 0,
      failed: 0,
    }]);
  });

  test("several issuers together respect the limit of concurrent loads", async () => {
    const { create, issuers, run, sidecars } = setUp(3);
    await run(7);
    issuers.push(create());
    await run(60);
    expect(versions(sidecars)).toEqual(servers.map(() => "v1"));
    expect(sidecars.peakConcurrentLoads).toBe(2);
  });

  test("an issuer with an older configuration has no effect", async () => {
    const { config, create, issuers, run, sidecars } = setUp(1);
    const old = create(Object.assign(new SinglePoolConfig(), { sequence: 10 }));
    config.sequence = 20;
    config.pool = pool("v2", 2);
    await run(80, [...issuers, old]);
    expect(versions(sidecars)).toEqual(servers.map(() => "v2"));
  });

  test("issuers that first saw the pool at different sequences agree on one fencing number", async () => {
    const { config, create, issuers, run, sidecars } = setUp(1);
    await run(5);
    config.sequence = 30;
    const late = create();
    await run(80, [...issuers, late]);
    expect(versions(sidecars)).toEqual(servers.map(() => "v1"));
    expect(issuers[0]!.progress()[0]!.fencingNumber).toBe(30);
    expect(late.progress()[0]!.fencingNumber).toBe(30);
  });

  test("an order without an answer counts as a load until it times out", async () => {
    const { create, run, sidecars } = setUp(0);
    await run(600, [create(undefined, true)]);
    expect(versions(sidecars)).toEqual(servers.map(() => "v1"));
    expect(sidecars.peakConcurrentLoads).toBeLessThanOrEqual(2);
  });

  test("an engine that restarted is detected and loaded again", async () => {
    const { run, sidecars } = setUp(1);
    await run(60);
    sidecars.restart("s3");
    await run(120);
    expect(sidecars.loaded.get("s3")).toBe("v1");
    expect(sidecars.orders).toBeLessThan(500);
  });
});
