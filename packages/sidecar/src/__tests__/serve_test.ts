/** Successful requests over HTTP: reserve, prefill and start; reserve and call. */
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import {
  BackendRole,
  FrameKind,
  PlainCallState,
  SIDECAR_RPC_PATH,
  type SidecarRouter,
  STREAM_START_PATH,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { expectedText } from "@sassafrascleat/testing";
import { createTRPCClient, httpBatchStreamLink } from "@trpc/client";
import { request } from "undici";
import {
  call,
  prefillRequest,
  readFrames,
  reserveRequest,
  SECRET,
  startRequest,
  TestEnvironment,
  textOf,
} from "./harness.ts";

let env: TestEnvironment;
beforeEach(() => {
  env = new TestEnvironment();
});
afterEach(() => env.close());

function client(address: string) {
  const url = address + SIDECAR_RPC_PATH;
  const headers = { [SYSTEM_SECRET_HEADER]: SECRET };
  return createTRPCClient<SidecarRouter>({
    links: [httpBatchStreamLink({ url, headers })],
  });
}

test("a reserved and prefilled request streams its complete answer", async () => {
  const prefill = await env.node(BackendRole.Prefill);
  const decode = await env.node(BackendRole.Decode, { timeScale: 0.1 });
  const prompt = "build guide #len=40";
  const rpc = client(decode.sidecar.address);
  const grant = await rpc.reserve.mutate(reserveRequest("r1"));
  expect(grant).toMatchObject({ granted: true, readyInMs: 0 });
  const done = await client(prefill.sidecar.address)
    .prefill.mutate(prefillRequest("r1", prompt));
  if (!done.done) throw new Error(done.reason);
  const frames = await readFrames(
    decode.sidecar.address,
    STREAM_START_PATH,
    startRequest(decode.sidecar, "r1", prompt, done.kv),
  );
  expect(textOf(frames)).toBe(expectedText(prompt, 200));
  expect(frames.at(-1)).toMatchObject({ kind: FrameKind.End, offset: 40 });
  expect(prefill.server.stats()).toMatchObject({
    prefillsRun: 1,
    prefillsUsed: 1,
    wastedTokens: 0,
  });
  expect((await rpc.status.query()).inFlight).toBe(0);
});

test("a reserved plain call is answered", async () => {
  const { server, sidecar } = await env.plain();
  await sidecar.control.reserve(reserveRequest("p1", { promptTokens: 0 }));
  const reply = await call(sidecar, "p1");
  if (reply.state !== PlainCallState.Answered) throw new Error(reply.state);
  const body = Buffer.from(reply.answer.bodyBase64, "base64").toString();
  expect(JSON.parse(body)).toEqual({ echo: "body of p1", count: 1 });
  expect(server.stats().executionsById).toEqual({ p1: 1 });
});

test("every path except health and metrics requires the secret", async () => {
  const { sidecar } = await env.plain();
  const status = async (path: string, secret: string) => {
    const headers = { [SYSTEM_SECRET_HEADER]: secret };
    const res = await request(sidecar.address + path, { headers });
    await res.body.dump();
    return res.statusCode;
  };
  expect(await status(`${SIDECAR_RPC_PATH}/status`, "wrong")).toBe(401);
  expect(await status(`${SIDECAR_RPC_PATH}/status`, SECRET)).toBe(200);
  expect(await status("/health", "wrong")).toBe(200);
  expect(await status("/metrics", "wrong")).toBe(200);
});
