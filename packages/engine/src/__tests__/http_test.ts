/** Tests the HTTP clients against simulated backend servers behind a faulty proxy. */
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
      streamTimeoutMs: 500,
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

  test("an idle connection that stopped delivering data is replaced", async () => {
    const loadTwice = () => Promise.all([engine.load(), engine.load()]);
    expect(await loadTwice()).not.toContain(undefined);
    await new Promise(setImmediate);
    const before = proxy.counts.connections;
    proxy.blackholeOpenConnections();
    expect(await loadTwice()).not.toContain(undefined);
    expect(proxy.counts.bytesDiscarded).toBeGreaterThan(0);
    expect(proxy.counts.connections).toBeGreaterThan(before);
  });

  test("a prefill resent after its connection stalls is not run twice", async () => {
    const result = prefill(2_000);
    while (server.stats().heldIds.length === 0) await engine.held();
    proxy.blackholeOpenConnections();
    expect((await result).status).toBe(EngineStatus.Ok);
    expect(proxy.counts.bytesDiscarded).toBeGreaterThan(0);
    expect(server.stats().prefillsRun).toBe(1);
  });

  test("calls to an unreachable engine return failures", async () => {
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

  function callPlainService(timeoutMs = 5_000, baseUrl = proxy.address) {
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

  test("a call returns the complete response and passes its id on", async () => {
    const result = await callPlainService();
    if (result.status !== EngineStatus.Ok) throw new Error(result.message);
    const body = Buffer.from(result.answer.bodyBase64, "base64").toString();
    expect(JSON.parse(body)).toEqual({ echo: "body", count: 1 });
    expect(server.stats().executionsById).toEqual({ p1: 1 });
  });

  test("a refused connection proves that nothing was sent", async () => {
    const { address } = server;
    await server.close();
    expect(await callPlainService(5_000, address)).toMatchObject({
      status: EngineStatus.Unreachable,
      sent: false,
    });
  });

  test("a call without a response is reported as sent, executed or not", async () => {
    const sentWithoutAnswer = { status: EngineStatus.Unreachable, sent: true };
    server.setFault(PlainFault.AfterExecuting);
    expect(await callPlainService()).toMatchObject(sentWithoutAnswer);
    server.setFault(PlainFault.BeforeExecuting);
    expect(await callPlainService()).toMatchObject(sentWithoutAnswer);
    expect(server.stats().executionsById).toEqual({ p1: 1 });
    server.setFault(PlainFault.None);
    proxy.setMode(ProxyMode.HalfOpen);
    expect(await callPlainService(100)).toMatchObject(sentWithoutAnswer);
    expect(server.stats().executionsById).toEqual({ p1: 2 });
  });

  test("every call opens a new connection", async () => {
    await callPlainService();
    proxy.blackholeOpenConnections();
    expect((await callPlainService()).status).toBe(EngineStatus.Ok);
    expect(proxy.counts.connections).toBe(2);
  });
});
