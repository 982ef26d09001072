/**
 * Chooses the engines for the prefill and the decode of a generation. Decode
 * engines run out of memory in bursts, and several routers place requests
 * without common accounting. Decode engines are therefore tried in turn, those
 * with the least work of this router first and those that have just refused a
 * request of this size or less last. Of the prefill engines, the one with the
 * shortest expected wait is used. An engine that limits the rate of its requests
 * is passed over while this router's share of the rate is used up, and one that
 * has just started or returned while this router's limit for it is reached.
 */
import type { Random } from "@sassafrascleat/runtime";
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { sampleCandidates, shuffle } from "./candidates.ts";
import type { EngineLoadTracker } from "./engine_load_tracker.ts";
import type { HealthTracker } from "./backend_health.ts";
import type { RequestRateLimits } from "./request_rate_limits.ts";
import type { ServerPace } from "./server_pace.ts";

/** Inputs of a placement decision. */
export interface PlacementInputs {
  engineLoads: EngineLoadTracker;
  health: HealthTracker;
  rateLimits: RequestRateLimits;
  /** Limits of engines that have just started or returned. @default none */
  pace?: ServerPace;
  nowMs: number;
  random: Random;
  /** Preferred availability zone: of this router or of another engine. */
  zone: string;
  /** Limits of this router. @default those without overload control */
  policy?: { overloadControl: boolean };
  /**
   * Usual wait at the prefill engines under overload control, in milliseconds.
   * @default 0
   */
  usualPrefillWaitMs?: number;
}

/** How long an engine counts as full after a refusal, in milliseconds. */
export const REFUSAL_TTL_MS = 120;
/**
 * Load added to engines in other availability zones, as a share of memory: the
 * whole stream crosses zones. A full engine refuses, so little is risked.
 */
const OTHER_ZONE_LOAD_PENALTY = 0.25;
/** Weight of prefills on a decode engine, which delay its streams. */
const PREFILL_WEIGHT = 2;
/**
 * Wait added to prefill engines in other availability zones, in milliseconds:
 * the prefill result crosses zones, which takes longer and costs more.
 */
const OTHER_ZONE_PREFILL_PENALTY_MS = 40;

/**
 * Returns decode engines in the order in which they are tried. The request has to
 * leave `withheldAt` tokens of an engine free for more urgent ones.
 */
export function orderDecodeEngines(
  engines: readonly Backend[],
  tokens: number,
  kvTokens: number,
  inputs: PlacementInputs,
  withheldAt: (engine: Backend) => number = () => 0,
): Backend[] {
  const candidates = candidatesOf(engines, inputs);
  const paced = candidates.filter((engine) => isAvailable(engine, inputs));
  const available = paced.length > 0
    ? paced
    : candidates.filter((engine) => isHealthy(engine, inputs));
  const ranked = available.map((engine) => ({
    engine,
    full: hasRecentlyRefused(engine, tokens + withheldAt(engine), inputs),
    load: decodeLoad(engine, kvTokens, inputs),
  }));
  ranked.sort((a, b) => Number(a.full) - Number(b.full) || a.load - b.load);
  return ranked.map((item) => item.engine);
}

/** Whether the engine has just refused a request of this size or less. */
export function hasRecentlyRefused(
  engine: Backend,
  tokens: number,
  inputs: PlacementInputs,
): boolean {
  const load = inputs.engineLoads.loadOf(incarnationOf(engine));
  const recent = inputs.nowMs - load.lastRefusedAtMs < REFUSAL_TTL_MS;
  return recent && tokens >= load.refusedTokens;
}

/**
 * Engines to rank. Routers with little work rank most engines as equal: in one
 * order for all of them, they would all choose the same engine.
 */
function candidatesOf(
  engines: readonly Backend[],
  { random, policy }: PlacementInputs,
): readonly Backend[] {
  const candidates = sampleCandidates(engines, random);
  return policy?.overloadControl ? shuffle(candidates, random) : candidates;
}

/** Whether the engine is healthy, and its limits allow a request. */
function isAvailable(engine: Backend, inputs: PlacementInputs): boolean {
  return isHealthy(engine, inputs) && isWithinPace(engine, inputs);
}

/** Whether the engine is healthy and its rate limit allows a request. */
function isHealthy(engine: Backend, inputs: PlacementInputs): boolean {
  const key = incarnationOf(engine);
  return inputs.health.isUsable(key) && inputs.rateLimits.allows(key);
}

function isWithinPace(engine: Backend, inputs: PlacementInputs): boolean {
  if (!inputs.pace) return true;
  const load = inputs.engineLoads.loadOf(incarnationOf(engine));
  const inProgress = engine.stage === EngineStage.Prefill
    ? load.prefillCount
    : load.requestCount;
  return inputs.pace.allows(engine, inProgress);
}

function decodeLoad(
  engine: Backend,
  kvTokens: number,
  inputs: PlacementInputs,
): number {
  const load = inputs.engineLoads.loadOf(incarnationOf(engine));
  const memoryShare = load.tokens / kvTokens;
  const slotShare = load.requestCount / Math.max(1, engine.slots);
  const zonePenalty = engine.zone === inputs.zone ? 0 : OTHER_ZONE_LOAD_PENALTY;
  const prefillLoad = PREFILL_WEIGHT * load.prefillTokens / kvTokens;
  return Math.max(memoryShare, slotShare) + prefillLoad + zonePenalty;
}

/** Picks the prefill engine with the shortest expected wait. */
export function pickPrefillEngine(
  engines: readonly Backend[],
  tokensPerMs: number,
  inputs: PlacementInputs,
  excluded: ReadonlySet<string> = new Set(),
): Backend | undefined {
  let best: Backend | undefined;
  let bestMs = Infinity;
  for (const engine of candidatesOf(engines, inputs)) {
    const key = incarnationOf(engine);
    if (excluded.has(key) || !isAvailable(engine, inputs)) continue;
    const waitMs = prefillWaitMs(engine, tokensPerMs, inputs);
    if (waitMs < bestMs) {
      best = engine;
      bestMs = waitMs;
    }
  }
  return best;
}

/**
 * Expected wait until an engine starts a prefill, in milliseconds, including
 * the penalty for another availability zone.
 */
export function prefillWaitMs(
  engine: Backend,
  tokensPerMs: number,
  inputs: PlacementInputs,
): number {
  const key = incarnationOf(engine);
  const zonePenaltyMs = engine.zone === inputs.zone
    ? 0
    : OTHER_ZONE_PREFILL_PENALTY_MS;
  const localQueueMs = inputs.engineLoads.loadOf(key).prefillTokens /
    tokensPerMs;
  const delayMs = inputs.engineLoads.prefillDelayMs(
    key,
    inputs.usualPrefillWaitMs,
  );
  const overdueMs = inputs.policy?.overloadControl
    ? inputs.engineLoads.overduePrefillMs(key)
    : 0;
  return localQueueMs + Math.max(delayMs, overdueMs) + zonePenaltyMs;
}
