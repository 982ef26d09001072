/**
 * Which backend server of a plain service gets a call. Load pattern: work times
 * with a long tail, backend servers of unequal speed, several entries. The one
 * whose own calls in progress, weighted by its recent speed, are fewest is
 * taken; the entry's own availability zone goes first among equals.
 */
import type { Random } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { candidatesOf } from "./candidates.ts";
import type { HealthBook } from "./backend_health.ts";

/** What placement of plain calls decides by. */
export interface PlainPlacementInputs {
  health: HealthBook;
  /** Own calls in progress, by incarnation. */
  inProgress: ReadonlyMap<string, number>;
  random: Random;
  zone: string;
}

/** Time a call to another zone is taken to cost more, as a share. */
const OTHER_ZONE_COST = 1.15;
/** Latency that a backend server without results is taken to have, in ms. */
const UNKNOWN_LATENCY_MS = 30;
/** Spread of the random part of a score, against herding of the entries. */
const SCORE_SPREAD = 0.1;
/** Error rates below this one don't count: every service fails now and then. */
const USUAL_ERROR_RATE = 0.2;

/** Picks a backend server, or none when all are excluded. */
export function pickPlainBackend(
  backends: readonly Backend[],
  inputs: PlainPlacementInputs,
  excluded: ReadonlySet<string> = new Set(),
): Backend | undefined {
  const candidates = candidatesOf(backends, inputs.random);
  const allowed = candidates.filter((item) =>
    !excluded.has(incarnationOf(item))
  );
  const usable = allowed.filter((item) =>
    inputs.health.usable(incarnationOf(item))
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
  const record = inputs.health.of(key);
  const latencyMs = record.latencyMs || UNKNOWN_LATENCY_MS;
  const busy = (inputs.inProgress.get(key) ?? 0) / Math.max(1, backend.slots);
  const excess = Math.max(0, record.errorRate - USUAL_ERROR_RATE);
  const zone = backend.zone === inputs.zone ? 1 : OTHER_ZONE_COST;
  const spread = 1 + SCORE_SPREAD * inputs.random.float();
  return latencyMs * (0.5 + busy) * (1 + 10 * excess) * zone * spread;
}
