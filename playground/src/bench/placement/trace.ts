/**
 * Seeded traces: arrivals in bursts, heavy-tailed lengths, shared prefixes and
 * cancellations. A trace depends on its options only, so every policy is
 * driven by the same one. At load 1 the demand of the trace just fills the pool
 * that is the bottleneck.
 */
import { RequestClass, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { createRandom, type Random } from "@sassafrascleat/runtime";
import {
  type DeploymentShape,
  type LengthShape,
  stepMs,
  type Workload,
} from "./deployment.ts";

/** What a request asks for. */
export interface RequestBody {
  customer: string;
  requestClass: RequestClass;
  promptTokens: number;
  /** Index of the shared prefix; undefined without one. */
  prefix: number | undefined;
  prefixTokens: number;
  answerTokens: number;
  maxOutputTokens: number;
}

/** One request of a trace. */
export interface TraceRequest extends RequestBody {
  id: string;
  /** Arrival after the start of the trace, in milliseconds. */
  atMs: number;
  /** The caller hangs up this long after the arrival, in milliseconds. */
  cancelAfterMs: number | undefined;
}

/** Options of a trace. */
export interface TraceOptions {
  shape: DeploymentShape;
  load: number;
  seed: number;
  durationMs: number;
  /** Share of the requests that are cancelled. */
  cancelShare: number;
}

/** Arrival rate in calm and in bursts, as a factor of the mean rate. */
const CALM_FACTOR = 0.75;
const BURST_FACTOR = 2;
/** Mean lengths of calm times and bursts, in milliseconds. */
const CALM_MS = 4_000;
const BURST_MS = 1_000;

/** Longest wait of a caller who hangs up, in milliseconds. */
const CANCEL_SPREAD_MS = 1_500;

/** Draws a trace. */
export function createTrace(options: TraceOptions): TraceRequest[] {
  const random = createRandom(options.seed);
  const bodies = drawBodies(options, random);
  const arrivals = drawArrivals(bodies.length, options.durationMs, random);
  return bodies.map((body, i) => {
    const cancelled = random.float() < options.cancelShare;
    return {
      id: `s${options.seed}-r${i}`,
      atMs: arrivals[i]!,
      ...body,
      cancelAfterMs: cancelled ? random.float() * CANCEL_SPREAD_MS : undefined,
    };
  });
}

/** As many requests as fill the bottleneck to the load, by their own demand. */
function drawBodies(options: TraceOptions, random: Random): RequestBody[] {
  const { shape } = options;
  const wantedMs = options.load * options.durationMs;
  const bodies: RequestBody[] = [];
  let prefillMs = 0;
  let decodeMs = 0;
  while (Math.max(prefillMs, decodeMs) < wantedMs) {
    const body = drawBody(shape.workload, random);
    bodies.push(body);
    prefillMs += leastPrefillMs(body, shape) / shape.prefillEngines;
    decodeMs += leastDecodeMs(body, shape) / shape.decodeEngines;
  }
  return bodies;
}

/** Arrivals of a Poisson process whose rate changes between calm and bursts. */
function drawArrivals(
  count: number,
  durationMs: number,
  random: Random,
): number[] {
  const meanGapMs = durationMs / count;
  const arrivals: number[] = [];
  let burst = false;
  let changeAtMs = exponential(CALM_MS, random);
  let atMs = 0;
  while (arrivals.length <= count) {
    const factor = burst ? BURST_FACTOR : CALM_FACTOR;
    const nextMs = atMs + exponential(meanGapMs / factor, random);
    if (nextMs <= changeAtMs) {
      arrivals.push(nextMs);
      atMs = nextMs;
      continue;
    }
    atMs = changeAtMs;
    burst = !burst;
    changeAtMs += exponential(burst ? BURST_MS : CALM_MS, random);
  }
  const scale = durationMs / arrivals[count]!;
  return arrivals.slice(0, count).map((it) => it * scale);
}

/** Demand of a trace as a share of each pool's time. */
export interface TraceDemand {
  prefill: number;
  decode: number;
}

/** The demand of `trace` on each pool over `durationMs`. */
export function traceDemand(
  trace: readonly TraceRequest[],
  shape: DeploymentShape,
  durationMs: number,
): TraceDemand {
  let prefillMs = 0;
  let decodeMs = 0;
  for (const req of trace) {
    prefillMs += leastPrefillMs(req, shape);
    decodeMs += leastDecodeMs(req, shape);
  }
  return {
    prefill: prefillMs / shape.prefillEngines / durationMs,
    decode: decodeMs / shape.decodeEngines / durationMs,
  };
}

/** Engine time of a prompt whose shared prefix is cached, in milliseconds. */
export function leastPrefillMs(
  req: Pick<TraceRequest, "promptTokens" | "prefixTokens">,
  shape: DeploymentShape,
): number {
  const tokens = req.promptTokens - req.prefixTokens;
  return tokens / shape.engine.prefillRate * 1_000;
}

/** Engine time of an answer in full batches, the best use of an engine, in milliseconds. */
export function leastDecodeMs(
  req: Pick<TraceRequest, "answerTokens">,
  shape: DeploymentShape,
): number {
  const { slots } = shape.engine;
  return req.answerTokens * stepMs(shape.engine, slots) / slots;
}

function drawBody(workload: Workload, random: Random): RequestBody {
  const shared = random.float() < workload.prefixShare;
  const prefix = shared ? skewed(workload.prefixes, random) : undefined;
  const pieces = prefix === undefined ? 0 : 1 + prefix % workload.prefixPieces;
  const prefixTokens = pieces * TOKENS_PER_PIECE;
  const answerTokens = drawLength(workload.answer, random);
  return {
    customer: `customer-${skewed(workload.customers, random)}`,
    requestClass: random.float() < 0.3
      ? RequestClass.Interactive
      : RequestClass.Standard,
    promptTokens: prefixTokens + drawLength(workload.ownPrompt, random),
    prefix,
    prefixTokens,
    answerTokens,
    maxOutputTokens: nextPowerOfTwo(answerTokens),
  };
}

function drawLength(shape: LengthShape, random: Random): number {
  const tokens = shape.median * Math.exp(shape.sigma * normal(random));
  return Math.max(8, Math.min(shape.cap, Math.round(tokens)));
}

/** Callers name an upper bound, not the length. */
function nextPowerOfTwo(tokens: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(32, tokens)));
}

/** An index below `count`; low ones are drawn more often. */
function skewed(count: number, random: Random): number {
  return Math.floor(count * random.float() ** 2);
}

function exponential(mean: number, random: Random): number {
  return -mean * Math.log(1 - random.float());
}

/** Box and Muller's method. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.float()));
  return radius * Math.cos(2 * Math.PI * random.float());
}
