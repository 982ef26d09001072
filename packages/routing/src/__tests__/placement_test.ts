/** Placement policies, load hint tracking and the pool balance. */
import { describe, expect, test } from "@jest/globals";
import {
  BackendRole,
  type BackendServer,
  HostState,
  type LoadHint,
  RequestClass,
} from "@sassafrascleat/protocol";
import { ManualClock } from "@sassafrascleat/runtime";
import fc from "fast-check";
import {
  type BackendState,
  Bottleneck,
  createLoadHintTracker,
  createPlacementPolicy,
  type PlacementRequest,
  PolicyName,
  poolBalance,
} from "../index.ts";

function server(name: string, overrides: Partial<BackendServer> = {}) {
  return {
    name,
    office: "o",
    availabilityZone: "z1",
    pool: "p",
    role: BackendRole.Decode,
    sidecarAddress: "http://127.0.0.1:1",
    engineAddress: "http://127.0.0.1:2",
    state: HostState.Live,
    ...overrides,
  };
}

function hint(overrides: Partial<LoadHint> = {}): LoadHint {
  return {
    running: 0,
    reserved: 0,
    slots: 20,
    freePieces: 100,
    totalPieces: 100,
    queuedTokens: 0,
    rate: 10_000,
    leaving: false,
    ...overrides,
  };
}

function state(
  name: string,
  hintOverrides: Partial<LoadHint> = {},
  zone = "z1",
): BackendState {
  return {
    server: server(name, { availabilityZone: zone }),
    hint: hint(hintOverrides),
    hintAgeMs: 0,
    requestsSentSinceHint: 0,
    tokensSentSinceHint: 0,
  };
}

function request(overrides: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    requestId: "r1",
    customer: "c",
    requestClass: RequestClass.Standard,
    promptTokens: 1_000,
    maxOutputTokens: 200,
    expectedOutputTokens: 100,
    pieceHashes: ["p1"],
    arrivedAtMs: 0,
    firstTokenDueMs: 570,
    deadlineMs: 60_000,
    tbtTargetMs: 43,
    ...overrides,
  };
}

const grant = { name: "d", availabilityZone: "z1", readyInMs: 0 };
const names = Object.values(PolicyName);

describe.each(names)("%s", (name) => {
  test("asks a few distinct servers and none that is draining", () => {
    const pool = [
      state("a"),
      state("b", { leaving: true }),
      { ...state("c"), server: server("c", { state: HostState.Leaving }) },
      state("d"),
      state("e"),
      state("f"),
    ];
    const policy = createPlacementPolicy(name);
    const probes = policy.decodeProbes(request(), pool, 0).map((it) => it.name);
    expect(probes).toHaveLength(3);
    expect(new Set(probes).size).toBe(3);
    expect(probes).not.toContain("b");
    expect(probes).not.toContain("c");
    const plan = policy.prefillPlan(request(), grant, pool.slice(1, 3), 0);
    expect(plan).toBeUndefined();
    expect(policy.decodeProbes(request(), [], 0)).toEqual([]);
  });
});

describe("just_in_time", () => {
  const policy = () => createPlacementPolicy(PolicyName.JustInTime);

  test("asks the least occupied servers first, counting requests sent since the hint", () => {
    const busy = { ...state("busy"), requestsSentSinceHint: 12 };
    const pool = [busy, state("half", { running: 10 }), state("idle")];
    const probes = policy().decodeProbes(request(), pool, 0);
    expect(probes.map((it) => it.name)).toEqual(["idle", "half", "busy"]);
  });

  test("times the prefill so that its result is ready before the slot and has not expired by then", () => {
    const late = { ...grant, readyInMs: 1_500 };
    const plan = policy().prefillPlan(request(), late, [state("p")], 0)!;
    const endMs = plan.startInMs + 100;
    expect(endMs).toBeLessThan(1_500);
    expect(endMs).toBeGreaterThan(1_500 - 800 / 2);
    const now = policy().prefillPlan(request(), grant, [state("p")], 0)!;
    expect(now.startInMs).toBe(0);
    expect(now.startWithinMs).toBeGreaterThan(0);
  });

  test("prefers the server that has the prefix cached unless its queue costs more than the prefix saves", () => {
    const it = policy();
    const pool = [state("a"), state("b")];
    const first = it.prefillPlan(request(), grant, pool, 0)!.name;
    const other = first === "a" ? "b" : "a";
    const busier = (tokens: number) => [
      state(first, { queuedTokens: tokens }),
      state(other),
    ];
    const long = request({ promptTokens: 3_000 });
    expect(it.prefillPlan(long, grant, busier(1_500), 0)!.name).toBe(first);
    expect(it.prefillPlan(long, grant, busier(4_000), 0)!.name).toBe(other);
  });

  test("prefers the availability zone of the slot", () => {
    const pool = [state("far", {}, "z2"), state("near", {}, "z1")];
    const long = request({ promptTokens: 4_000, pieceHashes: ["x", "y"] });
    expect(policy().prefillPlan(long, grant, pool, 0)!.name).toBe("near");
  });

  test("plans no prefill whose result would be ready after the deadline", () => {
    const pool = [state("p", { queuedTokens: 50_000 })];
    const req = request({ deadlineMs: 1_000 });
    expect(policy().prefillPlan(req, grant, pool, 0)).toBeUndefined();
  });

  test("holds a request while the prefill queues are long enough", () => {
    const it = policy();
    const hold = (tokens: number, planned = 0, nowMs = 0) =>
      it.forecastPrefill!(
        request(),
        [
          state("a", { queuedTokens: tokens }),
          state("b", { queuedTokens: 20_000 }),
        ],
        planned,
        nowMs,
      ).holdMs;
    expect(hold(500)).toBe(0);
    expect(hold(3_000)).toBeGreaterThan(100);
    expect(hold(500, 6_000)).toBeGreaterThan(100);
    expect(hold(500, 0, 550)).toBeGreaterThan(0);
    expect(hold(0, 0, 550)).toBe(0);
  });

  test("late work in the queue does not hold a request that can meet its target", () => {
    const busy = [state("a", { queuedTokens: 20_000, urgentTokens: 100 })];
    expect(policy().forecastPrefill!(request(), busy, 0, 0).holdMs).toBe(0);
  });

  test("counts only the tokens that are probably not cached", () => {
    const it = policy();
    const req = request({ promptTokens: 3_000 });
    expect(it.forecastPrefill!(req, [], 0, 0).expectedTokens).toBe(3_000);
    it.observePrefill!(req, "a", 0);
    expect(it.forecastPrefill!(req, [], 0, 0).expectedTokens).toBe(1_000);
  });

  test("a hot prefix never adds more queueing on one server than its cache saves", () => {
    const count = fc.integer({ min: 1, max: 60 });
    fc.assert(
      fc.property(count, fc.integer({ min: 2, max: 6 }), (sent, servers) => {
        const it = policy();
        const pool = Array.from({ length: servers }, (_, i) => state(`p${i}`));
        for (let i = 0; i < sent; i++) {
          const req = request({ requestId: `r${i}`, promptTokens: 2_500 });
          const name = it.prefillPlan(req, grant, pool, 0)?.name;
          const chosen = pool.find((it) => it.server.name === name);
          if (chosen) chosen.tokensSentSinceHint += req.promptTokens;
        }
        const loads = pool.map((it) => it.tokensSentSinceHint);
        const spread = Math.max(...loads) - Math.min(...loads);
        expect(spread).toBeLessThanOrEqual(2_000 + 2_500);
      }),
      { seed: 31 },
    );
  });
});

describe("createLoadHintTracker", () => {
  test("keeps counting work sent too recently to be included in a hint", () => {
    const clock = new ManualClock(100);
    const tracker = createLoadHintTracker(clock, { settleMs: 8 });
    tracker.sent("a", 500);
    clock.advance(20);
    tracker.sent("a", 300);
    clock.advance(2);
    tracker.recordHint("a", hint());
    clock.advance(5);
    const [a, b] = tracker.states([server("a"), server("b")]);
    expect(a).toMatchObject({
      hintAgeMs: 5,
      requestsSentSinceHint: 1,
      tokensSentSinceHint: 300,
    });
    expect(b).toMatchObject({ hint: undefined, requestsSentSinceHint: 0 });
  });
});

describe("poolBalance", () => {
  const options = { ttftTargetMs: 500 };

  test("returns the pool with the higher pressure and the value of that pressure", () => {
    const decode = [state("d", { running: 19 })];
    expect(poolBalance([state("p")], decode, options)).toMatchObject({
      bottleneck: Bottleneck.Decode,
      decodePressure: 0.95,
    });
    const slow = [state("p", { queuedTokens: 10_000 })];
    expect(poolBalance(slow, decode, options)).toMatchObject({
      bottleneck: Bottleneck.Prefill,
      prefillQueueMs: 1_000,
      prefillPressure: 2,
    });
    expect(poolBalance([state("p")], [state("d")], options).bottleneck)
      .toBe(Bottleneck.None);
  });
});
