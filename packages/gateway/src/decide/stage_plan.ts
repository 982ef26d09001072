/**
 * Plans how many engines of a service run prefill and how many run decode. The
 * ratio of prompt to response lengths shifts, and engines are lost and come
 * back. The split follows the measured work of both stages, with spare prefill
 * engines so that bursts of prompts do not queue. While requests are rejected
 * for lack of decode memory, no decode engine is taken away. Each step changes
 * one engine; the caller applies a change only if the imbalance has lasted.
 */
import { type Backend, EngineStage } from "../backends/backend.ts";

/** Work of finished generations, in milliseconds of one fully used engine. */
export interface StageWork {
  prefillMs: number;
  decodeMs: number;
}

/** One change of an engine's stage. */
export interface StageChange {
  engine: Backend;
  stage: EngineStage;
}

/** Inputs of a plan. */
export interface StagePlanInputs {
  /** Engines of one service that accept requests. */
  engines: readonly Backend[];
  work: StageWork;
  /** Generations that must end before an engine can change its stage. */
  loadOf?: (engine: Backend) => number;
  /** Requests have just been rejected for lack of decode memory. */
  decodeMemoryShort?: boolean;
}

/** Assumed share of prefill engines before any work is measured. */
const PRIOR_PREFILL_SHARE = 0.2;
/** Weight of the assumed share, in milliseconds of work. */
const PRIOR_WORK_MS = 15_000;
/** Share of a decode engine's memory that can be in use at best. */
const USABLE_DECODE_SHARE = 0.85;
/**
 * Spare prefill engines, as a multiple of the square root of the number that
 * the average work needs (square-root staffing).
 */
const PREFILL_HEADROOM = 0.4;
/** Deviation from the target that is left alone, in engines. */
const TOLERANCE_ENGINES = 0.75;
/**
 * The same as a share of the engines, for the first change: in a large fleet
 * each router measures only a small part of the work.
 */
const TOLERANCE_SHARE = 0.05;

/** Number of prefill engines that matches the work; may be fractional. */
export function targetPrefillEngines(inputs: StagePlanInputs): number {
  const { prefillMs } = inputs.work;
  const decodeMs = inputs.work.decodeMs / USABLE_DECODE_SHARE;
  const priorPrefillMs = PRIOR_PREFILL_SHARE * PRIOR_WORK_MS;
  const totalMs = prefillMs + decodeMs + PRIOR_WORK_MS;
  const share = (prefillMs + priorPrefillMs) / totalMs;
  const needed = share * inputs.engines.length;
  return needed + PREFILL_HEADROOM * Math.sqrt(needed);
}

/** Returns the next change, or undefined if the stages match the work. */
export function planStageChange(
  inputs: StagePlanInputs,
  toleranceEngines = Math.max(
    TOLERANCE_ENGINES,
    TOLERANCE_SHARE * inputs.engines.length,
  ),
): StageChange | undefined {
  const { engines } = inputs;
  if (engines.length < 2) return undefined;
  const prefillEngines = enginesAtStage(engines, EngineStage.Prefill);
  const decodeEngines = enginesAtStage(engines, EngineStage.Decode);
  const maxPrefillEngines = engines.length - 1;
  const target = Math.min(
    maxPrefillEngines,
    Math.max(1, targetPrefillEngines(inputs)),
  );
  const surplus = prefillEngines.length - target;
  if (surplus >= toleranceEngines && prefillEngines.length > 1) {
    return pickChange(
      prefillEngines,
      decodeEngines,
      EngineStage.Decode,
      inputs.loadOf,
    );
  }
  const mayTakeDecode = decodeEngines.length > 1 &&
    (!inputs.decodeMemoryShort || prefillEngines.length === 0);
  if (surplus <= -toleranceEngines && mayTakeDecode) {
    return pickChange(
      decodeEngines,
      prefillEngines,
      EngineStage.Prefill,
      inputs.loadOf,
    );
  }
  return undefined;
}

/** Returns the changes due now, at most `maxChanges` and all to one stage. */
export function planStageChanges(
  inputs: StagePlanInputs,
  maxChanges: number,
): StageChange[] {
  const changes: StageChange[] = [];
  let { engines } = inputs;
  while (changes.length < maxChanges) {
    const tolerance = changes.length > 0 ? TOLERANCE_ENGINES : undefined;
    const next = planStageChange({ ...inputs, engines }, tolerance);
    if (!next) break;
    changes.push(next);
    const { engine, stage } = next;
    engines = engines.map((item) =>
      item === engine ? { ...item, stage } : item
    );
  }
  return changes;
}

function enginesAtStage(
  engines: readonly Backend[],
  stage: EngineStage,
): Backend[] {
  return engines.filter((engine) => engine.stage === stage);
}

/**
 * Picks the engine with the least work to finish; among equals, one from the
 * availability zone with the largest surplus of the stage that shrinks. Streams
 * and prefill results stay at their software version, so each version should
 * have a decode engine: its last one is picked last, and a prefill engine of a
 * version without one is picked first.
 */
function pickChange(
  from: readonly Backend[],
  to: readonly Backend[],
  stage: EngineStage,
  loadOf: (engine: Backend) => number = () => 0,
): StageChange | undefined {
  const decodeEngines = stage === EngineStage.Decode ? to : from;
  const decodeCounts = countByVersion(decodeEngines);
  const ranked = from.map((engine) => ({
    engine,
    versionRank: versionRank(stage, decodeCounts.get(engine.version) ?? 0),
    load: loadOf(engine),
    zoneSurplus: countInZone(from, engine.zone) - countInZone(to, engine.zone),
  }));
  ranked.sort((a, b) =>
    a.versionRank - b.versionRank ||
    a.load - b.load || b.zoneSurplus - a.zoneSurplus ||
    (a.engine.id < b.engine.id ? -1 : 1)
  );
  const engine = ranked[0]?.engine;
  return engine && { engine, stage };
}

function countInZone(engines: readonly Backend[], zone: string): number {
  return engines.filter((engine) => engine.zone === zone).length;
}

/** 0 for engines that their version needs at `stage`, or can spare; else 1. */
function versionRank(stage: EngineStage, decodeCount: number): number {
  const suits = stage === EngineStage.Decode
    ? decodeCount === 0
    : decodeCount > 1;
  return suits ? 0 : 1;
}

function countByVersion(engines: readonly Backend[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { version } of engines) {
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  return counts;
}
