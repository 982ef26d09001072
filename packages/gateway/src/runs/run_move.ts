/**
 * Moves a running generation away from an engine that leaves: the run stops
 * there, its memory goes to another engine, and the stream goes on after its
 * last event. It is the same run, so requests that may run once move as well.
 */
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { orderDecodeEngines } from "../decide/engine_placement.ts";
import type { KvSource } from "../http/wire_codec.ts";
import type { Room } from "./decode_room.ts";
import type { Generation } from "./generation.ts";
import {
  type CallerRequest,
  MoveEnd,
  type RunContext,
  takeRepeat,
} from "./run_context.ts";

/** A run that ends within this time stays at an engine that leaves, in ms. */
const LEAVING_ENGINE_MS = 1_200;

/** Where a stopped run goes on. */
export interface MovedRun {
  room: Room;
  source: KvSource | undefined;
}

/** Calls `onLeaving` when `engine` leaves, until the result is called. */
export function watchEngine(
  ctx: RunContext,
  engine: Backend,
  onLeaving: () => void,
): () => void {
  const key = incarnationOf(engine);
  const streams = ctx.activeStreams.get(key) ?? new Set();
  ctx.activeStreams.set(key, streams);
  const stream = { engineLeaves: onLeaving };
  streams.add(stream);
  return () => {
    streams.delete(stream);
    if (streams.size === 0) ctx.activeStreams.delete(key);
  };
}

/** Moves a run that would outlast its engine; undefined when it stays. */
export async function moveAway(
  ctx: RunContext,
  req: CallerRequest,
  generation: Generation,
  engine: Backend,
  signal: AbortSignal,
): Promise<MovedRun | undefined> {
  if (generation.remainingMs() < LEAVING_ENGINE_MS) return undefined;
  const target = pickTarget(ctx, req, generation);
  if (!target || !takeRepeat(ctx, req, "move")) return undefined;
  const tokens = generation.finalTokens;
  const release = ctx.book.place(incarnationOf(target), tokens);
  const id = req.facts.requestId;
  const result = await ctx.engines.moveRun(engine, id, target, signal);
  ctx.log("run_moved", {
    req: id,
    from: engine.id,
    to: target.id,
    end: result.end,
    message: result.message,
    events: generation.progress.events,
  });
  const next = nextEngine(result.end, engine, target);
  if (!next) {
    release();
    return undefined;
  }
  const grantedAtMs = ctx.clock.now();
  const room = { engine: next, tokens, grantedAtMs, release };
  return { room, source: result.source };
}

function nextEngine(
  end: MoveEnd,
  engine: Backend,
  target: Backend,
): Backend | undefined {
  if (end === MoveEnd.Moved) return target;
  return end === MoveEnd.Stayed ? engine : undefined;
}

function pickTarget(
  ctx: RunContext,
  req: CallerRequest,
  generation: Generation,
): Backend | undefined {
  const engines = ctx.directory.readyAt(req.service.name, EngineStage.Decode);
  const inputs = { ...ctx, nowMs: ctx.clock.now() };
  const { finalTokens, capacity } = generation;
  const ordered = orderDecodeEngines(
    engines,
    finalTokens,
    capacity.kvTokens,
    inputs,
  );
  return ordered[0];
}
