/** Decode attempts under failures, checked against the records of the engines. */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import {
  BackendRole,
  type Frame,
  FrameKind,
  RefusalReason,
  RequestClass,
  type ReserveRequest,
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
  StreamFailure,
} from "@sassafrascleat/protocol";
import {
  createFaultProxy,
  expectedText,
  ProxyMode,
} from "@sassafrascleat/testing";
import type { Sidecar } from "../index.ts";
import {
  countOf,
  type EngineFixture,
  prefilled,
  readFrames,
  reserveRequest,
  startRequest,
  TestEnvironment,
  textOf,
  waitUntil,
} from "./harness.ts";

let env: TestEnvironment;
let prefill: EngineFixture;
beforeEach(async () => {
  env = new TestEnvironment();
  prefill = await env.node(BackendRole.Prefill, { resultLifetimeMs: 10_000 });
});
afterEach(() => env.close());

interface Fields {
  reserve?: Partial<ReserveRequest>;
  start?: Partial<StartRequest>;
}

/** Reserves and prefills; returns the request that starts the attempt. */
async function prepareStart(
  sidecar: Sidecar,
  id: string,
  prompt: string,
  fields: Fields = {},
): Promise<StartRequest> {
  const grant = await sidecar.control.reserve(
    reserveRequest(id, fields.reserve),
  );
  if (!grant.granted) throw new Error(`refused: ${grant.reason}`);
  const { promptTokens = 100 } = fields.reserve ?? {};
  const { kv } = await prefilled(prefill, id, prompt, { promptTokens });
  const start = { promptTokens, ...fields.start };
  return startRequest(sidecar, id, prompt, kv, start);
}

function stream(
  address: string,
  req: StartRequest,
  enough?: (frames: Frame[]) => boolean,
) {
  return readFrames(address, STREAM_START_PATH, req, enough);
}

function resume(address: string, req: StartRequest, offset: number) {
  return readFrames(address, STREAM_RESUME_PATH, { ...req, offset });
}

const someTokens = (frames: Frame[]) => countOf(frames) >= 5;
const failedWith = (failure: StreamFailure) => ({
  kind: FrameKind.Failed,
  failure,
});

describe("starts", () => {
  test("a repeated start streams the same run", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const req = await prepareStart(sidecar, "r1", "a #len=20");
    const both = await Promise.all([
      stream(sidecar.address, req),
      stream(sidecar.address, req),
    ]);
    const wanted = expectedText("a #len=20", 200);
    expect(both.map((frames) => textOf(frames))).toEqual([wanted, wanted]);
    expect(server.stats().executions).toEqual({ "r1/1": 1 });
  });

  test("a start after a cancel or for another incarnation is refused", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const req = await prepareStart(sidecar, "r1", "a");
    const other = { ...req, incarnation: "the one before" };
    expect(await stream(sidecar.address, other)).toMatchObject([
      { refusal: RefusalReason.WrongIncarnation },
    ]);
    await sidecar.control.cancel({ requestId: "r1", attempt: 1 });
    expect(await stream(sidecar.address, req)).toMatchObject([
      { refusal: RefusalReason.Tombstoned },
    ]);
    expect(server.stats().executions).toEqual({});
    expect((await sidecar.control.status()).inFlight).toBe(0);
  });

  test("a start waits until the running request frees its slot", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode, {}, {
      maxRunning: 1,
    });
    const first = await prepareStart(sidecar, "r1", "a #len=20");
    const running = stream(sidecar.address, first);
    await waitUntil("decode", () => server.stats().decodesStarted === 1);
    const second = await prepareStart(sidecar, "r2", "b #len=20", {
      reserve: { maxWaitMs: 60_000 },
    });
    const third = await sidecar.control.reserve(reserveRequest("r3"));
    expect(third).toMatchObject({ reason: RefusalReason.Full });
    const frames = await stream(sidecar.address, second);
    expect(textOf(frames)).toBe(expectedText("b #len=20", 200));
    expect(textOf(await running)).toBe(expectedText("a #len=20", 200));
  });

  test("a later attempt continues after the tokens sent so far", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const prompt = "a #len=30";
    const whole = expectedText(prompt, 200);
    const generated = whole.split(" ").slice(0, 12).map((word) => `${word} `);
    const attempt = 2;
    await sidecar.control.reserve(reserveRequest("r1", { attempt }));
    const { kv } = await prefilled(prefill, "r1", prompt, {
      attempt,
      generated,
    });
    const frames = await stream(
      sidecar.address,
      startRequest(sidecar, "r1", prompt, kv, {
        attempt,
        generated,
        maxOutputTokens: 188,
      }),
    );
    expect(generated.join("") + textOf(frames)).toBe(whole);
    expect(kv.tokens).toBe(112);
    expect(server.stats().tokensByRequest).toEqual({ r1: 18 });
  });

  test("a new attempt cancels the previous one", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const req = await prepareStart(sidecar, "r1", "a #len=200");
    const old = stream(sidecar.address, req);
    await waitUntil("decode", () => server.stats().decodesStarted === 1);
    const next = { reserve: { attempt: 2 }, start: { attempt: 2 } };
    const again = await sidecar.control.reserve(
      reserveRequest("r1", next.reserve),
    );
    expect(again.granted).toBe(true);
    expect((await old).at(-1))
      .toMatchObject(failedWith(StreamFailure.Cancelled));
    await waitUntil("cancel", () => server.stats().heldIds.length === 0);
    const stale = await sidecar.control.reserve(reserveRequest("r1"));
    expect(stale).toMatchObject({ reason: RefusalReason.Superseded });
  });
});

describe("memory", () => {
  test("an attempt that isn't renewed is cancelled at the engine", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode, {}, {
      renewGraceMs: 150,
    });
    const req = await prepareStart(sidecar, "r1", "a #len=200");
    const frames = await stream(sidecar.address, req);
    expect(frames.at(-1)).toMatchObject(failedWith(StreamFailure.Cancelled));
    await waitUntil("memory", () => server.stats().heldPieces === 0);
    expect(server.stats().decodesCancelled).toBe(1);
    const ref = { requestId: "r1", attempt: 1 };
    const renewed = await sidecar.control.renew({
      entryId: "entry-1",
      attempts: [ref],
    });
    expect(renewed.missing).toEqual([ref]);
  });

  test("renewals keep an attempt alive", async () => {
    const { sidecar } = await env.node(BackendRole.Decode, {}, {
      renewGraceMs: 700,
    });
    const req = await prepareStart(sidecar, "r1", "a #len=60");
    const renewals = setInterval(() => {
      void sidecar.control.renew({ entryId: "entry-1", attempts: [req] });
    }, 30);
    const frames = await stream(sidecar.address, req);
    clearInterval(renewals);
    expect(textOf(frames)).toBe(expectedText("a #len=60", 200));
  });

  test("a slot is released only after the engine has answered the cancel", async () => {
    const server = await env.engineServer();
    const proxy = await createFaultProxy({ targetPort: server.port });
    env.defer(() => proxy.close());
    const { sidecar } = await env.sidecar(
      BackendRole.Decode,
      proxy.address,
      server.address,
      { maxRunning: 1 },
    );
    const req = await prepareStart(sidecar, "r1", "a #len=200");
    const running = stream(sidecar.address, req);
    await waitUntil("decode", () => server.stats().decodesStarted === 1);
    proxy.setMode(ProxyMode.Reset);
    proxy.resetAll();
    await sidecar.control.cancel(req);
    await running;
    const refused = await sidecar.control.reserve(reserveRequest("r2"));
    expect(refused).toMatchObject({ granted: false });
    expect(server.stats().heldIds).toEqual(["r1/1"]);
    proxy.setMode(ProxyMode.Pass);
    await waitUntil("memory", () => server.stats().heldPieces === 0);
    await waitUntil("slot", async () => {
      const reply = await sidecar.control.reserve(reserveRequest("r3"));
      return reply.granted;
    });
  });

  test("when memory runs out, the least urgent attempt is evicted", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode, {
      totalPieces: 4,
      timeScale: 0.1,
    });
    const reserve = {
      promptTokens: 3_900,
      expectedOutputTokens: 10,
      maxOutputTokens: 400,
    };
    const start = { maxOutputTokens: 400 };
    const urgent = await prepareStart(sidecar, "urgent", "a #len=300", {
      reserve: { ...reserve, requestClass: RequestClass.Interactive },
      start,
    });
    const batch = await prepareStart(sidecar, "batch", "b #len=300", {
      reserve: { ...reserve, requestClass: RequestClass.Batch },
      start,
    });
    const [kept, given] = await Promise.all([
      stream(sidecar.address, urgent),
      stream(sidecar.address, batch),
    ]);
    expect(textOf(kept)).toBe(expectedText("a #len=300", 400));
    expect(given.at(-1)).toMatchObject(failedWith(StreamFailure.EngineLost));
    expect(server.stats()).toMatchObject({ decodesLost: 0, heldPieces: 0 });
  });

  test("a prompt larger than the total memory is refused as too large", async () => {
    const { sidecar } = await env.node(BackendRole.Decode, {
      totalPieces: 2,
    });
    const reply = await sidecar.control.reserve(
      reserveRequest("r1", { promptTokens: 5_000 }),
    );
    expect(reply).toMatchObject({ reason: RefusalReason.TooLarge });
  });

  test("a restarted sidecar cancels the requests that its engine holds", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const req = await prepareStart(sidecar, "r1", "a #len=200");
    const cut = stream(sidecar.address, req);
    await waitUntil("decode", () => server.stats().decodesStarted === 1);
    await sidecar.close();
    await cut;
    expect(server.stats().heldIds).toEqual(["r1/1"]);
    const next = await env.sidecar(BackendRole.Decode, server.address);
    expect(server.stats()).toMatchObject({ heldIds: [], heldPieces: 0 });
    expect(await resume(next.sidecar.address, req, 0)).toMatchObject([
      { refusal: RefusalReason.WrongIncarnation },
    ]);
  });

  test("a request that only the engine knows is cancelled", async () => {
    const { engine, server } = await env.node(BackendRole.Decode, {}, {
      reconcileMs: 30,
    });
    const { kv } = await prefilled(prefill, "orphan", "a #len=500");
    await engine.decode({
      ...startRequest(
        { incarnation: "" } as Sidecar,
        "orphan",
        "a #len=500",
        kv,
      ),
      id: "orphan/1",
      maxOutputTokens: 500,
      transferTimeoutMs: 1_000,
    }, new AbortController().signal);
    await waitUntil("memory", () => server.stats().decodesCancelled === 1);
    expect(server.stats().heldPieces).toBe(0);
  });
});

describe("connections", () => {
  test("a stream resumes at its offset after a connection reset", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const proxy = await createFaultProxy({
      targetPort: Number(new URL(sidecar.address).port),
    });
    env.defer(() => proxy.close());
    const req = await prepareStart(sidecar, "r1", "a #len=60");
    const first = await stream(proxy.address, req, (frames) => {
      if (someTokens(frames)) proxy.resetAll();
      return false;
    });
    const offset = countOf(first);
    expect(offset).toBeLessThan(60);
    const rest = await resume(proxy.address, req, offset);
    expect(textOf(first) + textOf(rest, offset))
      .toBe(expectedText("a #len=60", 200));
    expect(rest.at(-1)).toMatchObject({ kind: FrameKind.End, offset: 60 });
    expect(server.stats().tokensByRequest).toEqual({ r1: 60 });
    const unknown = await resume(sidecar.address, {
      ...req,
      requestId: "r2",
    }, 0);
    expect(unknown).toMatchObject([failedWith(StreamFailure.NotFound)]);
  });

  test("a stalled engine connection is replaced and its stream resumed", async () => {
    const server = await env.engineServer();
    const proxy = await createFaultProxy({ targetPort: server.port });
    env.defer(() => proxy.close());
    const { sidecar } = await env.sidecar(
      BackendRole.Decode,
      proxy.address,
      server.address,
    );
    const req = await prepareStart(sidecar, "r1", "a #len=40");
    let blackholed = false;
    const frames = await stream(sidecar.address, req, (received) => {
      if (!blackholed && someTokens(received)) proxy.blackholeOpenConnections();
      blackholed ||= someTokens(received);
      return false;
    });
    expect(proxy.counts.bytesDiscarded).toBeGreaterThan(0);
    expect(textOf(frames)).toBe(expectedText("a #len=40", 200));
    expect(server.stats().executions).toEqual({ "r1/1": 1 });
  });

  test("when the engine dies, attempts fail and new ones are refused", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const req = await prepareStart(sidecar, "r1", "a #len=200");
    const frames = await stream(sidecar.address, req, (received) => {
      if (someTokens(received)) server.setFaults({ dead: true });
      return false;
    });
    expect(frames.at(-1)).toMatchObject(failedWith(StreamFailure.EngineLost));
    let number = 0;
    await waitUntil("engine down", async () => {
      const next = reserveRequest(`down${number++}`);
      const reply = await sidecar.control.reserve(next);
      return !reply.granted && reply.reason === RefusalReason.EngineDown;
    });
    server.setFaults({ dead: false });
    await waitUntil("engine back", async () => {
      const next = reserveRequest(`back${number++}`);
      const reply = await sidecar.control.reserve(next);
      return reply.granted;
    });
  });
});

describe("transfers", () => {
  test("a stalled transfer times out and another engine can use the result", async () => {
    const first = await env.node(BackendRole.Decode, {}, {
      transferTimeoutMs: 100,
    });
    const second = await env.node(BackendRole.Decode);
    first.server.setFaults({ stallTransfers: true });
    const prompt = "a #len=20";
    const req = await prepareStart(first.sidecar, "r1", prompt);
    expect(await stream(first.sidecar.address, req)).toMatchObject([
      failedWith(StreamFailure.TransferFailed),
    ]);
    await waitUntil("memory", () => first.server.stats().heldPieces === 0);
    const attempt = 2;
    await second.sidecar.control.reserve(reserveRequest("r1", { attempt }));
    const frames = await stream(
      second.sidecar.address,
      startRequest(second.sidecar, "r1", prompt, req.kv, { attempt }),
    );
    expect(textOf(frames)).toBe(expectedText(prompt, 200));
    await waitUntil("use", () => prefill.server.stats().prefillsUsed === 1);
    expect(prefill.server.stats().prefillsRun).toBe(1);
  });

  test("an expired prefill result fails the attempt and frees the slot", async () => {
    const { server, sidecar } = await env.node(BackendRole.Decode);
    const req = await prepareStart(sidecar, "r1", "a");
    await prefill.sidecar.control.cancel(req);
    await waitUntil("result", () => prefill.server.stats().heldPieces === 0);
    expect((await stream(sidecar.address, req)).at(-1))
      .toMatchObject(failedWith(StreamFailure.KvExpired));
    expect(server.stats().decodesStarted).toBe(0);
    await waitUntil("slot", async () => {
      return (await sidecar.control.status()).inFlight === 0;
    });
  });
});

describe("leaving", () => {
  test("new requests are refused and running ones finish", async () => {
    const { sidecar } = await env.node(BackendRole.Decode, {}, {
      drainLingerMs: 50,
    });
    const req = await prepareStart(sidecar, "r1", "a #len=30");
    const running = stream(sidecar.address, req);
    await sidecar.control.drain({ leaving: true });
    expect(await sidecar.control.reserve(reserveRequest("r2"))).toMatchObject({
      reason: RefusalReason.Leaving,
      hint: { leaving: true },
    });
    let drained = false;
    const drain = sidecar.drain(new AbortController().signal)
      .then(() => drained = true);
    const frames = await stream(sidecar.address, req, () => {
      expect(drained).toBe(false);
      return false;
    });
    expect(textOf(frames)).toBe(expectedText("a #len=30", 200));
    expect(textOf(await running)).toBe(textOf(frames));
    await drain;
    expect((await sidecar.control.status()).inFlight).toBe(0);
  });

  test("draining can be revoked", async () => {
    const { sidecar } = await env.node(BackendRole.Decode);
    await sidecar.control.drain({ leaving: true });
    await sidecar.control.drain({ leaving: false });
    const reply = await sidecar.control.reserve(reserveRequest("r1"));
    expect(reply.granted).toBe(true);
  });
});
