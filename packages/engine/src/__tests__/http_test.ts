/** HTTP forms before the stand-ins, over connections that fail. */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { BackendRole } from "@sassafrascleat/protocol";
import {
  createEngineServer,
  createFaultProxy,
  createPlainServer,
  type EngineServer,
  type FaultProxy,
  PlainFault,
  type PlainServer,
  ProxyMode,
} from "@sassafrascleat/testing";
import {
  createHttpEngine,
  createHttpPlainBackend,
  EngineStatus,
  type HttpEngine,
} from "../index.ts";

const signal = new AbortController().signal;

describe("createHttpEngine", () => {
  let server: EngineServer;
  let proxy: FaultProxy;
  let engine: HttpEngine;
  beforeEach(async () => {
    server = await createEngineServer({
      name: "engine",
      role: BackendRole.Prefill,
      prefillRate: 2_000,
    });
    proxy = await createFaultProxy({ targetPort: server.port });
    engine = createHttpEngine({
      baseUrl: proxy.address,
      silenceMs: 500,
      callTimeoutMs: 150,
    });
  });
  afterEach(async () => {
    await engine.close();
    await proxy.close();
    await server.close();
  });

  function prefill(promptTokens: number) {
    return engine.prefill({
      id: "r1/1",
      model: "model",
      prompt: "a",
      generated: [],
      promptTokens,
      pieceHashes: [],
      priority: 0,
    }, signal);
  }

  test("a connection that went silent while idle is replaced", async () => {
    const loads = () => Promise.all([engine.load(), engine.load()]);
    expect(await loads()).not.toContain(undefined);
    await new Promise(setImmediate);
    const before = proxy.counts.connections;
    proxy.silence();
    expect(await loads()).not.toContain(undefined);
    expect(proxy.counts.swallowed).toBeGreaterThan(0);
    expect(proxy.counts.connections).toBeGreaterThan(before);
  });

  test("a prefill whose connection goes silent is joined, not run twice", async () => {
    const result = prefill(2_000);
    while (server.books().heldIds.length === 0) await engine.held();
    proxy.silence();
    expect((await result).status).toBe(EngineStatus.Ok);
    expect(proxy.counts.swallowed).toBeGreaterThan(0);
    expect(server.books().prefillsRun).toBe(1);
  });

  test("an engine that can't be reached is told as such", async () => {
    proxy.setMode(ProxyMode.Reset);
    expect(await engine.cancel("r1/1")).toBe(false);
    expect(await engine.held()).toBeUndefined();
    expect((await prefill(10)).status).toBe(EngineStatus.Unreachable);
  });
});

describe("createHttpPlainBackend", () => {
  let server: PlainServer;
  let proxy: FaultProxy;
  beforeEach(async () => {
    server = await createPlainServer();
    proxy = await createFaultProxy({ targetPort: server.port });
  });
  afterEach(async () => {
    await proxy.close();
    await server.close();
  });

  function call(timeoutMs = 5_000, baseUrl = proxy.address) {
    const backend = createHttpPlainBackend({ baseUrl });
    return backend.call({
      id: "p1",
      method: "POST",
      path: "/orders",
      headers: { "content-type": "text/plain", "content-length": "999" },
      bodyBase64: Buffer.from("body").toString("base64"),
      timeoutMs,
    }, signal);
  }

  test("an answer comes back whole under the call's id", async () => {
    const result = await call();
    if (result.status !== EngineStatus.Ok) throw new Error(result.message);
    const body = Buffer.from(result.answer.bodyBase64, "base64").toString();
    expect(JSON.parse(body)).toEqual({ echo: "body", count: 1 });
    expect(server.books().executionsById).toEqual({ p1: 1 });
  });

  test("a refused connection proves that nothing was sent", async () => {
    const { address } = server;
    await server.close();
    expect(await call(5_000, address)).toMatchObject({
      status: EngineStatus.Unreachable,
      sent: false,
    });
  });

  test("a call without an answer counts as sent, executed or not", async () => {
    const sent = { status: EngineStatus.Unreachable, sent: true };
    server.setFault(PlainFault.AfterExecuting);
    expect(await call()).toMatchObject(sent);
    server.setFault(PlainFault.BeforeExecuting);
    expect(await call()).toMatchObject(sent);
    expect(server.books().executionsById).toEqual({ p1: 1 });
    server.setFault(PlainFault.None);
    proxy.setMode(ProxyMode.HalfOpen);
    expect(await call(100)).toMatchObject(sent);
    expect(server.books().executionsById).toEqual({ p1: 2 });
  });

  test("every call has a connection of its own", async () => {
    await call();
    proxy.silence();
    expect((await call()).status).toBe(EngineStatus.Ok);
    expect(proxy.counts.connections).toBe(2);
  });
});
