/**
 * Runs many requests with random cancels, lost readers, new attempts and broken
 * engine connections. Checks that a stream that ends has the complete answer to
 * its request, and that the engine and the ledger are empty afterwards.
 */
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import {
  BackendRole,
  type Frame,
  FrameKind,
  type PrefillReply,
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
} from "@sassafrascleat/protocol";
import { createRandom, type Random, sleep } from "@sassafrascleat/runtime";
import {
  createFaultProxy,
  expectedText,
  type FaultProxy,
} from "@sassafrascleat/testing";
import type { Sidecar } from "../index.ts";
import {
  countOf,
  type EngineFixture,
  prefillRequest,
  readFrames,
  reserveRequest,
  startRequest,
  TestEnvironment,
  textOf,
  waitUntil,
} from "./harness.ts";

const MIN_REQUESTS = 120;
/** More requests are made until this many answers have ended. */
const MIN_ENDED = 21;
const MAX_REQUESTS = 1_200;
const WORKERS = 24;
const MAX_TOKENS = 60;

/** What happens to a request while its answer is streamed. */
enum Scenario {
  Uninterrupted = "whole",
  /** The caller reads a part, loses the connection and resumes. */
  Resumed = "resumed",
  Cancelled = "cancelled",
  /** The caller disappears without a cancel and doesn't renew the attempt. */
  Abandoned = "abandoned",
  /** The caller replaces the attempt by a new one. */
  Superseded = "superseded",
}

let env: TestEnvironment;
let proxy: FaultProxy;
let prefill: EngineFixture;
let sidecar: Sidecar;
let heldIds: () => string[];

beforeEach(async () => {
  env = new TestEnvironment();
  const server = await env.engineServer({ timeScale: 0.2 });
  heldIds = () => server.stats().heldIds;
  proxy = await createFaultProxy({ targetPort: server.port });
  env.defer(() => proxy.close());
  prefill = await env.node(BackendRole.Prefill, { resultLifetimeMs: 5_000 });
  ({ sidecar } = await env.sidecar(
    BackendRole.Decode,
    proxy.address,
    server.address,
    { renewGraceMs: 1_500, reconcileMs: 300 },
  ));
});
afterEach(() => env.close());

interface Results {
  /** Requests that are over, in whatever way. */
  finished: number;
  ended: number;
  failed: number;
  wrong: string[];
}

/** Requests that finish between two breaks of the connections. */
const MIN_REQUESTS_BETWEEN_BREAKS = 3;
const MAX_REQUESTS_BETWEEN_BREAKS = 7;
const BREAK_POLL_MS = 10;
const REFUSED_PAUSE_MS = 50;

/** Reserves and prefills an attempt; undefined if either is refused. */
async function prepareStart(
  requestId: string,
  attempt: number,
  prompt: string,
): Promise<StartRequest | undefined> {
  const grant = await sidecar.control.reserve(reserveRequest(requestId, {
    attempt,
    maxOutputTokens: MAX_TOKENS,
    expectedOutputTokens: MAX_TOKENS,
    maxWaitMs: 5_000,
  }));
  if (!grant.granted) return undefined;
  const reply: PrefillReply = await prefill.sidecar.control.prefill(
    prefillRequest(requestId, prompt, { attempt }),
  );
  if (!reply.done) return undefined;
  const maxOutputTokens = MAX_TOKENS;
  const fields = { attempt, maxOutputTokens };
  return startRequest(sidecar, requestId, prompt, reply.kv, fields);
}

async function read(
  req: StartRequest,
  stopAt = Infinity,
  offset?: number,
): Promise<Frame[]> {
  const path = offset === undefined ? STREAM_START_PATH : STREAM_RESUME_PATH;
  const enough = (frames: Frame[]) => countOf(frames) >= stopAt;
  return await readFrames(sidecar.address, path, { ...req, offset }, enough);
}

function recordResult(results: Results, prompt: string, frames: Frame[]): void {
  const last = frames.at(-1);
  if (last?.kind !== FrameKind.End) {
    results.failed++;
    return;
  }
  results.ended++;
  const whole = textOf(frames) === expectedText(prompt, MAX_TOKENS);
  if (!whole) results.wrong.push(prompt);
}

async function runRequest(
  requestId: string,
  scenario: Scenario,
  random: Random,
  results: Results,
): Promise<void> {
  const prompt = `${requestId} #len=${random.int(5, MAX_TOKENS)}`;
  const req = await prepareStart(requestId, 1, prompt);
  // As long as the engine is unreachable, the sidecar refuses at once.
  if (!req) return await sleep(REFUSED_PAUSE_MS);
  const part = random.int(1, 10);
  if (scenario === Scenario.Uninterrupted) {
    return recordResult(results, prompt, await read(req));
  }
  const first = await read(req, part);
  if (scenario === Scenario.Resumed) {
    const rest = await read(req, Infinity, countOf(first));
    return recordResult(results, prompt, [...first, ...rest]);
  }
  if (scenario === Scenario.Cancelled) await sidecar.control.cancel(req);
  if (scenario !== Scenario.Superseded) return;
  const next = await prepareStart(requestId, 2, prompt);
  if (next) recordResult(results, prompt, await read(next));
}

/**
 * Breaks the engine connections each time some requests have finished, until
 * `signal` aborts. Faults at fixed times would leave a slow machine no answer.
 */
async function breakConnections(
  random: Random,
  results: Results,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const next = results.finished +
      random.int(MIN_REQUESTS_BETWEEN_BREAKS, MAX_REQUESTS_BETWEEN_BREAKS);
    while (results.finished < next && !signal.aborted) {
      await sleep(BREAK_POLL_MS, signal);
    }
    if (random.float() < 0.5) proxy.blackholeOpenConnections();
    else proxy.resetAll();
  }
}

test("under random faults, answers are complete and no request is left over", async () => {
  const random = createRandom(99);
  const results: Results = { finished: 0, ended: 0, failed: 0, wrong: [] };
  const stopFaults = new AbortController();
  const faultInjection = breakConnections(random, results, stopFaults.signal);
  const scenarios = Object.values(Scenario);
  let number = 0;
  const enough = () =>
    number >= MAX_REQUESTS ||
    (number >= MIN_REQUESTS && results.ended >= MIN_ENDED);
  const runWorker = async () => {
    while (!enough()) {
      const scenario = scenarios[number % scenarios.length] ??
        Scenario.Uninterrupted;
      await runRequest(`r${number++}`, scenario, random, results);
      results.finished += 1;
    }
  };
  await Promise.all(Array.from({ length: WORKERS }, runWorker));
  stopFaults.abort();
  await faultInjection;
  expect(results.wrong).toEqual([]);
  expect(results.ended).toBeGreaterThanOrEqual(MIN_ENDED);
  await waitUntil("empty ledger", async () => {
    return (await sidecar.control.status()).inFlight === 0;
  });
  await waitUntil("empty engine", () => heldIds().length === 0);
});
