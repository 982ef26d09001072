/**
 * How many engines of a service read prompts and how many generate. Load
 * pattern: prompts and answers shift against each other, and engines are lost
 * and come back. The shares follow the work of both kinds; one engine at a time
 * changes, and only when the difference lasted.
 */
import { type Backend, EngineStage } from "../backends/backend.ts";

/** Work of finished generations, in milliseconds of one whole engine. */
export interface StageWork {
  readMs: number;
  decodeMs: number;
}

/** One change of an engine's stage. */
export interface StageChange {
  engine: Backend;
  stage: EngineStage;
}

/** What a plan is made from. */
export interface StagePlanInputs {
  /** Engines of one service that take work. */
  engines: readonly Backend[];
  work: StageWork;
  /** Generations that would have to end before an engine changes. */
  loadOf?: (engine: Backend) => number;
}

/** Share of prefill engines before any work is known. */
const FIRST_READ_SHARE = 0.28;
/** Work for which the first belief counts, in milliseconds. */
const FIRST_BELIEF_MS = 20_000;
/** Engines are changed only when the shares are off by this many of them. */
const TOLERANCE_ENGINES = 0.75;

/** Prefill engines that fit the work, as a fraction of engines. */
export function wantedReadEngines(inputs: StagePlanInputs): number {
  const { readMs, decodeMs } = inputs.work;
  const believedMs = FIRST_READ_SHARE * FIRST_BELIEF_MS;
  const totalMs = readMs + decodeMs + FIRST_BELIEF_MS;
  const share = (readMs + believedMs) / totalMs;
  return share * inputs.engines.length;
}

/** The next change, or undefined when the stages fit. */
export function planStageChange(
  inputs: StagePlanInputs,
): StageChange | undefined {
  const { engines } = inputs;
  if (engines.length < 2) return undefined;
  const readers = ofStage(engines, EngineStage.Prefill);
  const decoders = ofStage(engines, EngineStage.Decode);
  const most = engines.length - 1;
  const wanted = Math.min(most, Math.max(1, wantedReadEngines(inputs)));
  const surplus = readers.length - wanted;
  if (surplus >= TOLERANCE_ENGINES && readers.length > 1) {
    return change(readers, decoders, EngineStage.Decode, inputs.loadOf);
  }
  if (surplus <= -TOLERANCE_ENGINES && decoders.length > 1) {
    return change(decoders, readers, EngineStage.Prefill, inputs.loadOf);
  }
  return undefined;
}

/** The changes to one stage that are due now, `most` at the most. */
export function planStageChanges(
  inputs: StagePlanInputs,
  most: number,
): StageChange[] {
  const changes: StageChange[] = [];
  let { engines } = inputs;
  while (changes.length < most) {
    const next = planStageChange({ ...inputs, engines });
    if (!next) break;
    changes.push(next);
    const { engine, stage } = next;
    engines = engines.map((it) => it === engine ? { ...it, stage } : it);
  }
  return changes;
}

function ofStage(engines: readonly Backend[], stage: EngineStage): Backend[] {
  return engines.filter((engine) => engine.stage === stage);
}

/**
 * Takes the engine that has the least to finish, then one from the availability
 * zone that keeps the most of them.
 */
function change(
  from: readonly Backend[],
  to: readonly Backend[],
  stage: EngineStage,
  loadOf: (engine: Backend) => number = () => 0,
): StageChange | undefined {
  const ranked = from.map((engine) => ({
    engine,
    load: loadOf(engine),
    left: inZone(from, engine.zone) - inZone(to, engine.zone),
  }));
  ranked.sort((a, b) =>
    a.load - b.load || b.left - a.left ||
    (a.engine.id < b.engine.id ? -1 : 1)
  );
  const engine = ranked[0]?.engine;
  return engine && { engine, stage };
}

function inZone(engines: readonly Backend[], zone: string): number {
  return engines.filter((engine) => engine.zone === zone).length;
}
