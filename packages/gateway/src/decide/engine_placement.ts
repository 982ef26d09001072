/**
 * Where a prompt is read and where its answer is generated. Load pattern:
 * memory of decode engines runs out in bursts, while several entries place
 * without a common ledger. Decode engines are asked in turn, the one with the
 * least of the entry's own work first; one that has just refused as much comes
 * last. Prefill engines are taken by the time until the prompt would be read.
 */
import type { Random } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { candidatesOf } from "./candidates.ts";
import type { EngineBook } from "./engine_book.ts";
import type { HealthBook } from "./backend_health.ts";

/** What placement decides by. */
export interface PlacementInputs {
  book: EngineBook;
  health: HealthBook;
  nowMs: number;
  random: Random;
  /** Where an engine is near: the zone of this entry or of another engine. */
  zone: string;
}

/** How long a refusal says that an engine is full, in milliseconds. */
export const REFUSAL_LIFE_MS = 120;
/** Work that an engine in another zone must have less, as a share of memory. */
const OTHER_ZONE_PENALTY = 0.06;
/** Prompts that a decode engine reads itself hold up its streams. */
const READING_WEIGHT = 2;
/**
 * Time by which a prefill engine in another zone must be sooner, in ms: what it
 * reads crosses zones, which takes longer and costs more.
 */
const OTHER_ZONE_READ_MS = 40;

/** Decode engines in the order in which they are asked. */
export function orderDecodeEngines(
  engines: readonly Backend[],
  tokens: number,
  kvTokens: number,
  inputs: PlacementInputs,
): Backend[] {
  const ranked = candidatesOf(engines, inputs.random)
    .filter((engine) => inputs.health.usable(incarnationOf(engine)))
    .map((engine) => ({
      engine,
      full: hasJustRefused(engine, tokens, inputs),
      load: decodeLoad(engine, kvTokens, inputs),
    }));
  ranked.sort((a, b) => Number(a.full) - Number(b.full) || a.load - b.load);
  return ranked.map((item) => item.engine);
}

/** True when the engine refused as much or less a moment ago. */
export function hasJustRefused(
  engine: Backend,
  tokens: number,
  inputs: PlacementInputs,
): boolean {
  const load = inputs.book.of(incarnationOf(engine));
  const recent = inputs.nowMs - load.refusedAtMs < REFUSAL_LIFE_MS;
  return recent && tokens >= load.refusedTokens;
}

function decodeLoad(
  engine: Backend,
  kvTokens: number,
  inputs: PlacementInputs,
): number {
  const load = inputs.book.of(incarnationOf(engine));
  const memory = load.tokens / kvTokens;
  const slots = load.requests / Math.max(1, engine.slots);
  const zone = engine.zone === inputs.zone ? 0 : OTHER_ZONE_PENALTY;
  const reading = READING_WEIGHT * load.readingTokens / kvTokens;
  return Math.max(memory, slots) + reading + zone;
}

/** The prefill engine that would have read the prompt first. */
export function pickPrefillEngine(
  engines: readonly Backend[],
  tokensPerMs: number,
  inputs: PlacementInputs,
  excluded: ReadonlySet<string> = new Set(),
): Backend | undefined {
  let best: Backend | undefined;
  let bestMs = Infinity;
  for (const engine of candidatesOf(engines, inputs.random)) {
    const key = incarnationOf(engine);
    if (excluded.has(key) || !inputs.health.usable(key)) continue;
    const waitMs = readWaitMs(engine, tokensPerMs, inputs);
    if (waitMs < bestMs) {
      best = engine;
      bestMs = waitMs;
    }
  }
  return best;
}

/** Expected wait until an engine begins to read a prompt, in milliseconds. */
export function readWaitMs(
  engine: Backend,
  tokensPerMs: number,
  inputs: PlacementInputs,
): number {
  const key = incarnationOf(engine);
  const zoneMs = engine.zone === inputs.zone ? 0 : OTHER_ZONE_READ_MS;
  const ownMs = inputs.book.of(key).readingTokens / tokensPerMs;
  return ownMs + inputs.book.readDelayMs(key) + zoneMs;
}
