/**
 * Picks the backend server for a call to a plain service (one without model
 * engines). Processing times have a long tail, backend servers differ in speed,
 * and several routers send calls. The pick is the one with the fewest of this
 * router's calls in progress, weighted by its recent latency; among equals,
 * this router's availability zone is preferred.
 */
import type { Random } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { sampleCandidates } from "./candidates.ts";
import type { HealthTracker } from "./backend_health.ts";
import type { RequestRateLimits } from "./request_rate_limits.ts";

/** Inputs of the placement of a plain call. */
export interface PlainPlacementInputs {
  health: HealthTracker;
  rateLimits: RequestRateLimits;
  /** This router's calls in progress, by incarnation. */
  inProgress: ReadonlyMap<string, number>;
  random: Random;
  zone: string;
}

/** Factor on the score of backend servers in other availability zones. */
const OTHER_ZONE_FACTOR = 1.15;
/** Latency assumed for a backend server without results, in milliseconds. */
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
  const pool = usable.length > 0 ? usable : allowed;
  let best: Backend | undefined;
  let bestScore = Infinity;
  for (const backend of pool) {
    const score = scoreOf(backend, inputs);
    if (score < bestScore) {
      best = backend;
      bestScore = score;
    }
  }
  return best;
}

function scoreOf(backend: Backend, inputs: PlainPlacementInputs): number {
  const key = incarnationOf(backend);
  const record = inputs.health.recordOf(key);
  const latencyMs = record.latencyMs || DEFAULT_LATENCY_MS;
  const utilization = (inputs.inProgress.get(key) ?? 0) /
    Math.max(1, backend.slots);
  const excessErrorRate = Math.max(0, record.errorRate - TOLERATED_ERROR_RATE);
  const zoneFactor = backend.zone === inputs.zone ? 1 : OTHER_ZONE_FACTOR;
  const jitter = 1 + SCORE_JITTER * inputs.random.float();
  return latencyMs * (0.5 + utilization) * (1 + 10 * excessErrorRate) *
    zoneFactor * jitter;
}
