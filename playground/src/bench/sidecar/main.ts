/**
 * Measures the cost of a decode sidecar: CPU time when idle, per reservation
 * and per relayed token, and the time until engine memory is freed after the
 * entry of its requests has failed. The sidecar runs in a separate process, the
 * simulated engines in this one.
 */
import {
  BackendRole,
  RequestClass,
  type ReserveRequest,
  type StartRequest,
} from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import { createEngineServer, type EngineServer } from "@sassafrascleat/testing";
import { request } from "undici";
import {
  type MeasuredSidecar,
  startMeasuredSidecar,
} from "./measured_sidecar.ts";

const IDLE_MS = 10_000;
const RESERVATIONS = 1_000;
const STREAMS = 20;
const TOKENS_PER_STREAM = 250;
const PROMPT_TOKENS = 1_000;
const RENEW_INTERVAL_MS = 500;

/** Engines of both roles and the sidecar of the decode engine. */
interface Setup {
  prefill: EngineServer;
  decode: EngineServer;
  sidecar: MeasuredSidecar;
}

async function createSetup(): Promise<Setup> {
  const prefill = await createEngineServer({
    name: "prefill-1",
    role: BackendRole.Prefill,
    prefillRate: 1_000_000,
    resultLifetimeMs: 60_000,
  });
  const decode = await createEngineServer({ name: "decode-1" });
  const sidecar = await startMeasuredSidecar(decode.address);
  return { prefill, decode, sidecar };
}

/** Measures the sidecar's CPU time during `work`, in microseconds. */
async function measureCpuUs(
  sidecar: MeasuredSidecar,
  work: () => Promise<void>,
): Promise<number> {
  const before = await sidecar.usage();
  await work();
  return (await sidecar.usage()).cpuUs - before.cpuUs;
}

function reservation(requestId: string): ReserveRequest {
  return {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    service: "service",
    requestClass: RequestClass.Standard,
    promptTokens: PROMPT_TOKENS,
    maxOutputTokens: TOKENS_PER_STREAM,
    expectedOutputTokens: TOKENS_PER_STREAM,
    maxWaitMs: 0,
  };
}

/**
 * Measures the CPU time of one reservation and its cancellation, in
 * microseconds.
 */
async function measureReservations({ sidecar }: Setup): Promise<number> {
  const run = async (prefix: string) => {
    for (let i = 0; i < RESERVATIONS; i++) {
      const req = reservation(`${prefix}${i}`);
      await sidecar.control.reserve.mutate(req);
      await sidecar.control.cancel.mutate({
        requestId: req.requestId,
        attempt: 1,
      });
    }
  };
  await run("warm-up-");
  return await measureCpuUs(sidecar, () => run("r")) / RESERVATIONS;
}

/**
 * Reserves a slot and runs the prefill; returns the request that starts the
 * decode.
 */
async function prepareStart(
  setup: Setup,
  requestId: string,
): Promise<StartRequest> {
  const { prefill, sidecar } = setup;
  const reply = await sidecar.control.reserve.mutate(reservation(requestId));
  if (!reply.granted) {
    throw new Error(`the sidecar refused the reservation: ${reply.reason}`);
  }
  const prompt = `${requestId} #len=${TOKENS_PER_STREAM}`;
  const kv = await runPrefill(prefill, requestId, prompt);
  return {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    incarnation: sidecar.incarnation,
    model: "model",
    prompt,
    generated: [],
    promptTokens: PROMPT_TOKENS,
    maxOutputTokens: TOKENS_PER_STREAM,
    priority: 0,
    kv,
  };
}

/** Runs a prompt directly at the simulated engine, without a sidecar. */
async function runPrefill(
  engine: EngineServer,
  requestId: string,
  prompt: string,
): Promise<StartRequest["kv"]> {
  const res = await request(`${engine.address}/v1/prefill`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      id: `${requestId}/1`,
      model: "model",
      prompt,
      generated: [],
      promptTokens: PROMPT_TOKENS,
      pieceHashes: [],
      priority: 0,
    }),
  });
  const lines = (await res.body.text()).trim().split("\n");
  const { result } = JSON.parse(lines.at(-1) ?? "{}");
  return {
    handle: result.handle,
    backendServer: "prefill-1",
    availabilityZone: "zone-a",
    engineAddress: engine.address,
    tokens: result.tokens,
    expiresInMs: result.expiresInMs,
  };
}

/**
 * Measures the CPU time per relayed token with a full batch, in microseconds.
 */
async function measureTokens(setup: Setup): Promise<number> {
  const ids = Array.from({ length: STREAMS }, (_, i) => `stream-${i}`);
  const starts = await Promise.all(ids.map((id) => prepareStart(setup, id)));
  const attempts = starts.map(({ requestId }) => ({ requestId, attempt: 1 }));
  const renewals = setInterval(() => {
    const renewal = { entryId: "entry-1", attempts };
    void setup.sidecar.control.renew.mutate(renewal);
  }, RENEW_INTERVAL_MS);
  const cpuUs = await measureCpuUs(setup.sidecar, async () => {
    await Promise.all(
      starts.map((req) => setup.sidecar.stream(req)),
    );
  });
  clearInterval(renewals);
  return cpuUs / (STREAMS * TOKENS_PER_STREAM);
}

/**
 * Measures the time from the failure of the only entry until the engine holds no
 * memory, in milliseconds.
 */
async function measureRelease(setup: Setup): Promise<number> {
  const ids = Array.from({ length: STREAMS }, (_, i) => `gone-${i}`);
  const starts = await Promise.all(ids.map((id) => prepareStart(setup, id)));
  const disconnects = starts.map(() => new AbortController());
  const reads = starts.map((req, i) =>
    setup.sidecar.stream(req, disconnects[i]?.signal)
  );
  while (setup.decode.stats().decodesStarted < 2 * STREAMS) await sleep(1);
  const attempts = starts.map(({ requestId }) => ({ requestId, attempt: 1 }));
  await setup.sidecar.control.renew.mutate({ entryId: "entry-1", attempts });
  const disconnectedAtMs = performance.now();
  for (const controller of disconnects) controller.abort();
  await Promise.all(reads);
  while (setup.decode.stats().heldPieces > 0) await sleep(1);
  return performance.now() - disconnectedAtMs;
}

/** Runs the bench and prints one line of JSON. */
export async function main(): Promise<number> {
  const setup = await createSetup();
  const { sidecar, prefill, decode } = setup;
  await sleep(1_000);
  const idleUs = await measureCpuUs(sidecar, () => sleep(IDLE_MS));
  const idle = await sidecar.usage();
  const reservationUs = await measureReservations(setup);
  const tokenUs = await measureTokens(setup);
  const releaseMs = await measureRelease(setup);
  const loaded = await sidecar.usage();
  await Promise.all([sidecar.close(), prefill.close(), decode.close()]);
  console.log(JSON.stringify({
    bench: "sidecar",
    idleCorePercent: Math.round(idleUs / IDLE_MS) / 10,
    idleResidentMb: Math.round(idle.residentMb),
    idleHeapMb: Math.round(idle.heapMb),
    loadedResidentMb: Math.round(loaded.residentMb),
    reserveAndCancelUs: Math.round(reservationUs),
    tokenUs: Math.round(tokenUs),
    streams: STREAMS,
    releaseMs: Math.round(releaseMs),
  }));
  return 0;
}
