/** Plain calls run at most once, and their reported states are correct. */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import {
  CancelState,
  PlainCallState,
  RefusalReason,
  UnknownReason,
} from "@sassafrascleat/protocol";
import { PlainFault } from "@sassafrascleat/testing";
import {
  attach,
  call,
  reserveRequest,
  TestEnvironment,
  waitUntil,
} from "./harness.ts";

let env: TestEnvironment;
beforeEach(() => {
  env = new TestEnvironment();
});
afterEach(() => env.close());

const RESERVATION_FIELDS = {
  promptTokens: 0,
  maxOutputTokens: 0,
  expectedOutputTokens: 0,
};

function reserve(id: string, attempt = 1) {
  return reserveRequest(id, { ...RESERVATION_FIELDS, attempt });
}

describe("tombstones", () => {
  test("a call that arrives after it was settled is refused", async () => {
    const { server, sidecar } = await env.plain();
    await sidecar.control.reserve(reserve("p1"));
    const refusal = {
      state: PlainCallState.NotRun,
      reason: RefusalReason.Tombstoned,
    };
    expect(await attach(sidecar, "p1")).toMatchObject(refusal);
    expect(await call(sidecar, "p1")).toMatchObject(refusal);
    expect(server.stats().total).toBe(0);
  });

  test("settling a call that waits for its slot stops it", async () => {
    const { server, sidecar } = await env.plain({ plainConcurrency: 1 });
    server.setDelay(150);
    await sidecar.control.reserve(reserve("first"));
    const first = call(sidecar, "first");
    await waitUntil("first call", () => server.stats().total === 1);
    await sidecar.control.reserve({ ...reserve("second"), maxWaitMs: 60_000 });
    const second = call(sidecar, "second");
    await waitUntil("second settled", async () => {
      const reply = await attach(sidecar, "second");
      return reply.state === PlainCallState.NotRun;
    });
    expect((await second).state).toBe(PlainCallState.NotRun);
    expect((await first).state).toBe(PlainCallState.Answered);
    expect(server.stats().executionsById).toEqual({ first: 1 });
  });

  test("a call without a grant is refused permanently", async () => {
    const { server, sidecar } = await env.plain();
    const refused = { state: PlainCallState.NotRun };
    expect(await call(sidecar, "p1")).toMatchObject(refused);
    const late = await sidecar.control.reserve(reserve("p1"));
    expect(late.granted).toBe(false);
    expect(await call(sidecar, "p1")).toMatchObject(refused);
    expect(server.stats().total).toBe(0);
  });

  test("an unused grant expires and its call is refused", async () => {
    const { server, sidecar } = await env.plain({ grantTtlMs: 20 });
    await sidecar.control.reserve(reserve("p1"));
    await waitUntil("expiry", async () => {
      const { hint } = await sidecar.control.status();
      return hint.reserved === 0;
    });
    expect(await call(sidecar, "p1")).toMatchObject({
      state: PlainCallState.NotRun,
      reason: RefusalReason.GrantExpired,
    });
    expect(server.stats().total).toBe(0);
  });
});

describe("incarnations", () => {
  test("a call for another incarnation is not run", async () => {
    const { server, sidecar } = await env.plain();
    await sidecar.control.reserve(reserve("p1"));
    const before = { incarnation: "the one before" };
    expect(await call(sidecar, "p1", before)).toMatchObject({
      state: PlainCallState.NotRun,
      reason: RefusalReason.WrongIncarnation,
    });
    expect(await attach(sidecar, "p1", before)).toMatchObject({
      state: PlainCallState.Unknown,
      reason: UnknownReason.SidecarRestarted,
    });
    expect(server.stats().total).toBe(0);
  });
});

describe("at most once", () => {
  test("repeats and later attempts get the first run's answer", async () => {
    const { server, sidecar } = await env.plain();
    server.setDelay(50);
    await sidecar.control.reserve(reserve("p1"));
    const both = [call(sidecar, "p1"), call(sidecar, "p1")];
    const [first, second] = await Promise.all(both);
    await sidecar.control.reserve(reserve("p1", 2));
    const third = await call(sidecar, "p1", { attempt: 2 });
    expect(first?.state).toBe(PlainCallState.Answered);
    expect([second, third]).toEqual([first, first]);
    expect(server.stats().executionsById).toEqual({ p1: 1 });
    expect((await sidecar.control.status()).inFlight).toBe(0);
  });

  test("a call that its caller gave up on can still be attached to", async () => {
    const { server, sidecar } = await env.plain();
    // The call reaches the service before its timeout, also on a busy machine.
    server.setDelay(1_500);
    await sidecar.control.reserve(reserve("p1"));
    const impatient = await call(sidecar, "p1", { timeoutMs: 500 })
      .catch(() => undefined);
    expect(impatient?.state).not.toBe(PlainCallState.Answered);
    const late = await attach(sidecar, "p1", { waitMs: 5_000 });
    expect([PlainCallState.Answered, PlainCallState.Unknown])
      .toContain(late.state);
    expect(server.stats().executionsById).toEqual({ p1: 1 });
  });

  test("attach waits for a running call, whose answer is kept", async () => {
    const { server, sidecar } = await env.plain();
    server.setDelay(100);
    await sidecar.control.reserve(reserve("p1"));
    const running = call(sidecar, "p1");
    await waitUntil("call", () => server.stats().total === 1);
    expect((await attach(sidecar, "p1")).state).toBe(PlainCallState.Running);
    const waited = await attach(sidecar, "p1", { waitMs: 5_000 });
    expect(waited.state).toBe(PlainCallState.Answered);
    expect(await running).toEqual(waited);
    expect(await attach(sidecar, "p1")).toEqual(waited);
  });

  test("a call whose answer the service lost is unknown and not resent", async () => {
    const { server, sidecar } = await env.plain();
    server.setFault(PlainFault.AfterExecuting);
    await sidecar.control.reserve(reserve("p1"));
    const unknown = {
      state: PlainCallState.Unknown,
      reason: UnknownReason.BackendFailed,
    };
    expect(await call(sidecar, "p1")).toMatchObject(unknown);
    server.setFault(PlainFault.None);
    expect(await call(sidecar, "p1")).toMatchObject(unknown);
    expect(await attach(sidecar, "p1")).toMatchObject(unknown);
    expect(server.stats().executionsById).toEqual({ p1: 1 });
  });

  test("a call that couldn't be sent is reported as not run", async () => {
    const { server, sidecar } = await env.plain();
    await sidecar.control.reserve(reserve("p1"));
    await server.close();
    expect(await call(sidecar, "p1")).toMatchObject({
      state: PlainCallState.NotRun,
      reason: RefusalReason.EngineDown,
    });
  });

  test("a running call continues without renewals", async () => {
    const { server, sidecar } = await env.plain({ renewGraceMs: 20 });
    server.setDelay(400);
    await sidecar.control.reserve(reserve("p1"));
    const reply = await call(sidecar, "p1");
    expect(reply.state).toBe(PlainCallState.Answered);
  });

  test("a cancel reports that the call runs and keeps its answer", async () => {
    const { server, sidecar } = await env.plain();
    server.setDelay(100);
    await sidecar.control.reserve(reserve("p1"));
    const running = call(sidecar, "p1");
    await waitUntil("call", () => server.stats().total === 1);
    const ref = { requestId: "p1", attempt: 1 };
    const { state } = await sidecar.control.cancel(ref);
    expect(state).toBe(CancelState.Running);
    expect((await running).state).toBe(PlainCallState.Answered);
    const again = await sidecar.control.cancel(ref);
    expect(again.state).not.toBe(CancelState.NotStarted);
  });
});

test("concurrency is limited, and a full service refuses reservations", async () => {
  const { sidecar } = await env.plain({ plainConcurrency: 1 });
  const first = await sidecar.control.reserve(reserve("p1"));
  const repeat = await sidecar.control.reserve(reserve("p1"));
  expect([first.granted, repeat.granted]).toEqual([true, true]);
  const second = await sidecar.control.reserve(reserve("p2"));
  expect(second).toMatchObject({ granted: false, reason: RefusalReason.Full });
});
