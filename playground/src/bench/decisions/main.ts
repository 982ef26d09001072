/**
 * `npm run bench -- decisions`: the cost of one placement decision at an entry,
 * for several numbers of engines. For each request an entry lists the candidates
 * of the prefill and decode pools, corrects their reported load, chooses the
 * engines to ask for a decode slot, and plans where and when to prefill. Prints
 * one line of JSON.
 */
import { createHostView, type HostView } from "@sassafrascleat/membership";
import {
  BackendRole,
  type BackendServer,
  HostState,
  type LoadHint,
  RequestClass,
} from "@sassafrascleat/protocol";
import {
  createLoadHintTracker,
  createPlacementPolicy,
  type LoadHintTracker,
  type PlacementPolicy,
  type PlacementRequest,
  PolicyName,
} from "@sassafrascleat/routing";
import {
  createRandom,
  type Random,
  systemClock,
} from "@sassafrascleat/runtime";
import { parseArgs } from "node:util";

const ENGINE_COUNTS = [6, 60, 600, 6_700];
const ZONES = Array.from({ length: 14 }, (_, i) => `zone-${i}`);
const BATCH = 200;
const BATCHES = 60;
const WARM_UP_BATCHES = 20;
/** KV-cache pieces of a prompt of 24,000 tokens. */
const PIECES = 12;

/** Cost of one placement decision. */
interface DecisionCost {
  engines: number;
  /** Time per placement, median over batches. */
  microseconds: number;
  /** Memory allocated for one placement, median over batches. */
  allocatedBytes: number;
  /** JSON size of the request, the first decode probe and the prefill plan. */
  messageBytes: number;
  /** Number of backend servers compared. */
  candidates: number;
}

/** Inputs shared by the placements of one engine count. */
interface PlacementFixture {
  hosts: HostView;
  hints: LoadHintTracker;
  policy: PlacementPolicy;
  random: Random;
}

/** Runs the benchmark; returns the exit status. */
export async function main(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: { policy: { type: "string", default: PolicyName.JustInTime } },
  });
  const policy = Object.values(PolicyName).find((it) => it === values.policy);
  if (!policy) {
    console.error(`--policy ${Object.values(PolicyName).join("|")}`);
    return 2;
  }
  const costs: DecisionCost[] = [];
  for (const engines of ENGINE_COUNTS) {
    costs.push(measure(await createFixture(engines, policy), engines));
  }
  console.log(JSON.stringify({ policy, costs }));
  return 0;
}

async function createFixture(
  engines: number,
  policy: PolicyName,
): Promise<PlacementFixture> {
  const servers = Array.from({ length: engines }, (_, i) => serverOf(i));
  const hosts = createHostView({
    source: { list: () => Promise.resolve(servers) },
    office: "office",
    availabilityZone: ZONES[0]!,
    entryId: "entry",
  });
  await hosts.refresh(new AbortController().signal);
  const random = createRandom(1);
  const hints = createLoadHintTracker(systemClock);
  for (const server of servers) {
    hints.recordHint(server.name, hintOf(random));
  }
  return { hosts, hints, policy: createPlacementPolicy(policy), random };
}

function serverOf(index: number): BackendServer {
  const role = index % 3 === 0 ? BackendRole.Prefill : BackendRole.Decode;
  return {
    name: `engine-${index}`,
    office: "office",
    availabilityZone: ZONES[index % ZONES.length]!,
    pool: role,
    role,
    sidecarAddress: "http://10.0.0.1:80",
    engineAddress: "http://10.0.0.1:81",
    state: HostState.Live,
  };
}

function hintOf(random: Random): LoadHint {
  return {
    running: random.int(0, 20),
    reserved: random.int(0, 3),
    slots: 20,
    freePieces: random.int(0, 400),
    totalPieces: 400,
    queuedTokens: random.int(0, 8_000),
    rate: 25_000,
    leaving: false,
  };
}

function requestOf(index: number, random: Random): PlacementRequest {
  const nowMs = systemClock.now();
  const prefix = random.int(0, 50);
  return {
    requestId: `request-${index}`,
    customer: `customer-${random.int(0, 5_600)}`,
    requestClass: RequestClass.Standard,
    promptTokens: 24_000,
    maxOutputTokens: 512,
    expectedOutputTokens: 200,
    pieceHashes: Array.from(
      { length: PIECES },
      (_, i) => i < 3 ? `prefix-${prefix}-${i}` : `own-${index}-${i}`,
    ),
    arrivedAtMs: nowMs,
    firstTokenDueMs: nowMs + 5_000,
    deadlineMs: nowMs + 120_000,
    tbtTargetMs: 43,
  };
}

function measure(fixture: PlacementFixture, engines: number): DecisionCost {
  const times: number[] = [];
  const bytes: number[] = [];
  for (let batch = 0; batch < WARM_UP_BATCHES + BATCHES; batch++) {
    const requests = Array.from(
      { length: BATCH },
      (_, i) => requestOf(batch * BATCH + i, fixture.random),
    );
    const heapBefore = process.memoryUsage().heapUsed;
    const startMs = performance.now();
    for (const req of requests) placeRequest(fixture, req);
    const spentMs = performance.now() - startMs;
    const allocated = process.memoryUsage().heapUsed - heapBefore;
    if (batch < WARM_UP_BATCHES) continue;
    times.push(spentMs * 1_000 / BATCH);
    // A garbage collection within the batch makes the difference meaningless.
    if (allocated > 0) bytes.push(allocated / BATCH);
  }
  const req = requestOf(0, fixture.random);
  const { first, plan, candidates } = placeRequest(fixture, req);
  return {
    engines,
    microseconds: Math.round(median(times) * 10) / 10,
    allocatedBytes: Math.round(median(bytes)),
    messageBytes: JSON.stringify({ req, first, plan }).length,
    candidates,
  };
}

function placeRequest(fixture: PlacementFixture, req: PlacementRequest) {
  const { hosts, hints, policy } = fixture;
  const nowMs = systemClock.now();
  const decode = hosts.candidates(BackendRole.Decode);
  const probes = policy.decodeProbes(req, hints.states(decode), nowMs);
  const first = probes[0]!;
  const grant = {
    name: first.name,
    availabilityZone: hosts.find(first.name)!.availabilityZone,
    readyInMs: 0,
  };
  const prefill = hosts.candidates(BackendRole.Prefill);
  const plan = policy.prefillPlan(req, grant, hints.states(prefill), nowMs);
  return { first, plan, candidates: decode.length + prefill.length };
}

function median(values: readonly number[]): number {
  const ordered = [...values].sort((a, b) => a - b);
  return ordered[Math.floor(ordered.length / 2)] ?? 0;
}
