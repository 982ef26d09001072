/**
 * What a decode sidecar costs: processor time when idle, for each reservation
 * and for each token that it relays; and how long engine memory is held for a
 * request whose entry is gone. The sidecar runs in a process of its own, the
 * stand-in engines in this one.
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
const TOKENS = 250;
const PROMPT_TOKENS = 1_000;
const RENEW_MS = 500;

/** Engines of both roles and the sidecar before the decode engine. */
interface Setup {
  prefill: EngineServer;
  decode: EngineServer;
  sidecar: MeasuredSidecar;
}

async function setUp(): Promise<Setup> {
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

/** Processor time that `work` cost the sidecar, in microseconds. */
async function cpuOf(
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
    maxOutputTokens: TOKENS,
    expectedOutputTokens: TOKENS,
    maxWaitMs: 0,
  };
}

/** Cost of one reservation and its cancel, in microseconds. */
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
  return await cpuOf(sidecar, () => run("r")) / RESERVATIONS;
}

async function place(setup: Setup, requestId: string): Promise<StartRequest> {
  const { prefill, sidecar } = setup;
  const reply = await sidecar.control.reserve.mutate(reservation(requestId));
  if (!reply.granted) throw new Error(`refused: ${reply.reason}`);
  const prompt = `${requestId} #len=${TOKENS}`;
  const kv = await prefillAt(prefill, requestId, prompt);
  return {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    incarnation: sidecar.incarnation,
    model: "model",
    prompt,
    generated: [],
    promptTokens: PROMPT_TOKENS,
    maxOutputTokens: TOKENS,
    priority: 0,
    kv,
  };
}

/** Runs a prompt at the stand-in without a sidecar. */
async function prefillAt(
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

/** Cost of one relayed token with a full batch, in microseconds. */
async function measureTokens(setup: Setup): Promise<number> {
  const ids = Array.from({ length: STREAMS }, (_, i) => `stream-${i}`);
  const starts = await Promise.all(ids.map((id) => place(setup, id)));
  const attempts = starts.map(({ requestId }) => ({ requestId, attempt: 1 }));
  const renewals = setInterval(() => {
    const renewal = { entryId: "entry-1", attempts };
    void setup.sidecar.control.renew.mutate(renewal);
  }, RENEW_MS);
  const cpuUs = await cpuOf(setup.sidecar, async () => {
    await Promise.all(
      starts.map((req) => setup.sidecar.stream(req)),
    );
  });
  clearInterval(renewals);
  return cpuUs / (STREAMS * TOKENS);
}

/** Time until the engine is empty after its only entry vanished, in ms. */
async function measureRelease(setup: Setup): Promise<number> {
  const ids = Array.from({ length: STREAMS }, (_, i) => `gone-${i}`);
  const starts = await Promise.all(ids.map((id) => place(setup, id)));
  const gone = starts.map(() => new AbortController());
  const reads = starts.map((req, i) =>
    setup.sidecar.stream(req, gone[i]?.signal)
  );
  while (setup.decode.stats().decodesStarted < 2 * STREAMS) await sleep(1);
  const attempts = starts.map(({ requestId }) => ({ requestId, attempt: 1 }));
  await setup.sidecar.control.renew.mutate({ entryId: "entry-1", attempts });
  const goneAt = performance.now();
  for (const controller of gone) controller.abort();
  await Promise.all(reads);
  while (setup.decode.stats().heldPieces > 0) await sleep(1);
  return performance.now() - goneAt;
}

/** Runs the bench and prints one line of JSON. */
export async function main(): Promise<number> {
  const setup = await setUp();
  const { sidecar, prefill, decode } = setup;
  await sleep(1_000);
  const idleUs = await cpuOf(sidecar, () => sleep(IDLE_MS));
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
