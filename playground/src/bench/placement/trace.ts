/**
 * Seeded request traces with bursty arrivals, heavy-tailed lengths, shared
 * prefixes and cancellations. A trace depends only on its options, so every
 * policy is measured with the same one. At load 1 the demand of the trace
 * equals the capacity of the bottleneck pool.
 */
import { RequestClass, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { createRandom, type Random } from "@sassafrascleat/runtime";
import {
  type DeploymentShape,
  type LengthDistribution,
  stepMs,
  type Workload,
} from "./deployment.ts";

/** Customer, class and lengths of a request. */
export interface RequestSpec {
  customer: string;
  requestClass: RequestClass;
  promptTokens: number;
  /** Index of the shared prefix, or undefined if there is none. */
  prefix: number | undefined;
  prefixTokens: number;
  answerTokens: number;
  maxOutputTokens: number;
}

/** One request of a trace. */
export interface TraceRequest extends RequestSpec {
  id: string;
  /** Arrival time since the start of the trace, in milliseconds. */
  atMs: number;
  /** Time from the arrival until the caller disconnects, in milliseconds. */
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

/** Arrival rate outside and during bursts, relative to the mean rate. */
const CALM_FACTOR = 0.75;
const BURST_FACTOR = 2;
/**
 * Mean duration of the periods between bursts and of bursts, in milliseconds.
 */
const MEAN_CALM_MS = 4_000;
const MEAN_BURST_MS = 1_000;

/** Maximum time until a cancelling caller disconnects, in milliseconds. */
const MAX_CANCEL_DELAY_MS = 1_500;

/** Generates a trace. */
export function createTrace(options: TraceOptions): TraceRequest[] {
  const random = createRandom(options.seed);
  const specs = sampleRequests(options, random);
  const arrivals = sampleArrivals(specs.length, options.durationMs, random);
  return specs.map((spec, i) => {
    const cancelled = random.float() < options.cancelShare;
    return {
      id: `s${options.seed}-r${i}`,
      atMs: arrivals[i]!,
      ...spec,
      cancelAfterMs: cancelled
        ? random.float() * MAX_CANCEL_DELAY_MS
        : undefined,
    };
  });
}

/**
 * Samples requests until their total demand reaches the load of the bottleneck
 * pool.
 */
function sampleRequests(options: TraceOptions, random: Random): RequestSpec[] {
  const { shape } = options;
  const targetMs = options.load * options.durationMs;
  const specs: RequestSpec[] = [];
  let prefillMs = 0;
  let decodeMs = 0;
  while (Math.max(prefillMs, decodeMs) < targetMs) {
    const spec = sampleRequest(shape.workload, random);
    specs.push(spec);
    prefillMs += minPrefillMs(spec, shape) / shape.prefillEngines;
    decodeMs += minDecodeMs(spec, shape) / shape.decodeEngines;
  }
  return specs;
}

/**
 * Samples arrivals of a Poisson process that alternates between a low rate and
 * bursts, scaled to `durationMs`.
 */
function sampleArrivals(
  count: number,
  durationMs: number,
  random: Random,
): number[] {
  const meanGapMs = durationMs / count;
  const arrivals: number[] = [];
  let burst = false;
  let changeAtMs = exponential(MEAN_CALM_MS, random);
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
    changeAtMs += exponential(burst ? MEAN_BURST_MS : MEAN_CALM_MS, random);
  }
  const scale = durationMs / arrivals[count]!;
  return arrivals.slice(0, count).map((it) => it * scale);
}

/** Demand of a trace as a share of the capacity of each pool. */
export interface TraceDemand {
  prefill: number;
  decode: number;
}

/** Computes the demand of `trace` on each pool over `durationMs`. */
export function traceDemand(
  trace: readonly TraceRequest[],
  shape: DeploymentShape,
  durationMs: number,
): TraceDemand {
  let prefillMs = 0;
  let decodeMs = 0;
  for (const req of trace) {
    prefillMs += minPrefillMs(req, shape);
    decodeMs += minDecodeMs(req, shape);
  }
  return {
    prefill: prefillMs / shape.prefillEngines / durationMs,
    decode: decodeMs / shape.decodeEngines / durationMs,
  };
}

/** Prefill time of a prompt whose shared prefix is cached, in milliseconds. */
export function minPrefillMs(
  req: Pick<TraceRequest, "promptTokens" | "prefixTokens">,
  shape: DeploymentShape,
): number {
  const tokens = req.promptTokens - req.prefixTokens;
  return tokens / shape.engine.prefillRate * 1_000;
}

/**
 * Decode time per answer in full batches, where an engine is most efficient, in
 * milliseconds.
 */
export function minDecodeMs(
  req: Pick<TraceRequest, "answerTokens">,
  shape: DeploymentShape,
): number {
  const { slots } = shape.engine;
  return req.answerTokens * stepMs(shape.engine, slots) / slots;
}

function sampleRequest(workload: Workload, random: Random): RequestSpec {
  const shared = random.float() < workload.prefixShare;
  const prefix = shared ? skewedIndex(workload.prefixes, random) : undefined;
  const pieces = prefix === undefined
    ? 0
    : 1 + prefix % workload.maxPrefixPieces;
  const prefixTokens = pieces * TOKENS_PER_PIECE;
  const answerTokens = sampleLength(workload.answer, random);
  return {
    customer: `customer-${skewedIndex(workload.customers, random)}`,
    requestClass: random.float() < 0.3
      ? RequestClass.Interactive
      : RequestClass.Standard,
    promptTokens: prefixTokens + sampleLength(workload.promptSuffix, random),
    prefix,
    prefixTokens,
    answerTokens,
    maxOutputTokens: nextPowerOfTwo(answerTokens),
  };
}

function sampleLength(shape: LengthDistribution, random: Random): number {
  const tokens = shape.median * Math.exp(shape.sigma * standardNormal(random));
  return Math.max(8, Math.min(shape.cap, Math.round(tokens)));
}

/**
 * Upper bound that a caller requests, as callers don't know the answer's
 * length.
 */
function nextPowerOfTwo(tokens: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(32, tokens)));
}

/** Samples an index below `count`; lower ones are more frequent. */
function skewedIndex(count: number, random: Random): number {
  return Math.floor(count * random.float() ** 2);
}

function exponential(mean: number, random: Random): number {
  return -mean * Math.log(1 - random.float());
}

/** Samples the standard normal distribution by the Box-Muller transform. */
function standardNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.float()));
  return radius * Math.cos(2 * Math.PI * random.float());
}
