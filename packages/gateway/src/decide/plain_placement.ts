/**
 * Picks the backend server for a call to a plain service (one without model
 * engines). Processing times have a long tail, backend servers differ in speed,
 * and several routers send calls. The pick is the one with the fewest of this
 * router's calls in progress, weighted by its recent latency; among equals,
 * this router's availability zone is preferred. A backend server that has just
 * started or returned is passed over while its limit is reached, unless there is
 * no other.
 */
import type { Random } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { sampleCandidates } from "./candidates.ts";
import type { HealthTracker } from "./backend_health.ts";
import { medianLatencyMs } from "./peer_latency.ts";
import type { RequestRateLimits } from "./request_rate_limits.ts";
import type { ServerPace } from "./server_pace.ts";
import { pickSlower, type RatedServer } from "./slower_servers.ts";

/** Inputs of the placement of a plain call. */
export interface PlainPlacementInputs {
  health: HealthTracker;
  rateLimits: RequestRateLimits;
  /** Limits of servers that have just started or returned. @default none */
  pace?: ServerPace;
  /** This router's calls in progress, by incarnation. */
  inProgress: ReadonlyMap<string, number>;
  random: Random;
  zone: string;
}

/** Factor on the score of backend servers in other availability zones. */
const OTHER_ZONE_FACTOR = 1.15;
/** Latency assumed where no backend server has results, in milliseconds. */
const DEFAULT_LATENCY_MS = 30;
/** Random part of a score, which keeps routers from herding. */
const SCORE_JITTER = 0.1;
/** Lower error rates are ignored: every service fails now and then. */
const TOLERATED_ERROR_RATE = 0.2;

/**
 * Picks a backend server, an ejected one if there is no other; undefined if all
 * are excluded or at their rate limits.
 */
export function pickPlainBackend(
  backends: readonly Backend[],
  inputs: PlainPlacementInputs,
  excluded: ReadonlySet<string> = new Set(),
): Backend | undefined {
  const candidates = sampleCandidates(backends, inputs.random);
  const allowed = candidates.filter((item) => {
    const key = incarnationOf(item);
    return !excluded.has(key) && inputs.rateLimits.allows(key);
  });
  const usable = allowed.filter((item) =>
    inputs.health.isUsable(incarnationOf(item))
  );
  const paced = usable.filter((item) => isWithinPace(item, inputs));
  const pool = [paced, usable, allowed].find((list) => list.length > 0) ?? [];
  const usualMs = usualLatencyMs(pool, inputs);
  const slower = usualMs &&
    pickSlower(rate(pool, inputs), usualMs, inputs.random);
  return slower || pickByScore(pool, inputs, usualMs ?? DEFAULT_LATENCY_MS);
}

function pickByScore(
  pool: readonly Backend[],
  inputs: PlainPlacementInputs,
  assumedMs: number,
): Backend | undefined {
  let best: Backend | undefined;
  let bestScore = Infinity;
  for (const backend of pool) {
    const score = scoreOf(backend, inputs, assumedMs);
    if (score < bestScore) {
      best = backend;
      bestScore = score;
    }
  }
  return best;
}

function rate(
  pool: readonly Backend[],
  inputs: PlainPlacementInputs,
): RatedServer<Backend>[] {
  return pool.map((server) => ({
    server,
    latencyMs: inputs.health.recordOf(incarnationOf(server)).latencyMs,
    loadFactor: loadFactorOf(server, inputs),
  }));
}

function isWithinPace(backend: Backend, inputs: PlainPlacementInputs): boolean {
  const inProgress = inputs.inProgress.get(incarnationOf(backend)) ?? 0;
  return inputs.pace?.allows(backend, inProgress) ?? true;
}

/** Median latency of the backend servers, where it is used, in milliseconds. */
function usualLatencyMs(
  pool: readonly Backend[],
  { health, pace }: PlainPlacementInputs,
): number | undefined {
  if (!pace?.enabled) return undefined;
  return medianLatencyMs(health, pool.map(incarnationOf));
}

function scoreOf(
  backend: Backend,
  inputs: PlainPlacementInputs,
  assumedMs: number,
): number {
  const record = inputs.health.recordOf(incarnationOf(backend));
  const latencyMs = record.latencyMs || assumedMs;
  const jitter = 1 + SCORE_JITTER * inputs.random.float();
  return latencyMs * loadFactorOf(backend, inputs) * jitter;
}

/** Factor on the latency for load, errors and distance. */
function loadFactorOf(backend: Backend, inputs: PlainPlacementInputs): number {
  const key = incarnationOf(backend);
  const { errorRate } = inputs.health.recordOf(key);
  const utilization = (inputs.inProgress.get(key) ?? 0) /
    Math.max(1, backend.slots);
  const excessErrorRate = Math.max(0, errorRate - TOLERATED_ERROR_RATE);
  const zoneFactor = backend.zone === inputs.zone ? 1 : OTHER_ZONE_FACTOR;
  return (0.5 + utilization) * (1 + 10 * excessErrorRate) * zoneFactor;
}
