/**
 * Moves a running generation off a draining engine: the engine stops the run,
 * its KV-cache memory is transferred to another engine, and the stream continues
 * there after its last event. This continues the same run rather than starting
 * a second one, so requests that may run only once are moved too.
 */
import { childAbortController, sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { orderDecodeEngines } from "../decide/engine_placement.ts";
import type { KvSource } from "../http/wire_codec.ts";
import { ofVersion } from "../versions/same_version.ts";
import type { Reservation } from "./decode_reservations.ts";
import type { Generation } from "./generation.ts";
import {
  type CallerRequest,
  MoveEnd,
  type RunContext,
  tryAcquireRetry,
} from "./run_context.ts";

/** A run expected to end within this time stays at a draining engine, in ms. */
const MIN_REMAINING_MS_TO_MOVE = 1_200;

/** Where a stopped run continues. */
export interface MovedRun {
  reservation: Reservation;
  source: KvSource | undefined;
}

/** A move in progress, whose engine may stand still before it stops the run. */
export class PendingMove {
  readonly #controller: AbortController;
  readonly #result: Promise<MovedRun | undefined>;

  constructor(
    start: (signal: AbortSignal) => Promise<MovedRun | undefined>,
    signal: AbortSignal,
  ) {
    this.#controller = childAbortController(signal);
    this.#result = start(this.#controller.signal);
  }

  /** Where the run continues, if that is known within `forMs`. */
  async wait(forMs: number): Promise<MovedRun | undefined> {
    const { signal } = this.#controller;
    if (forMs < Infinity) {
      void sleep(forMs, signal).then(() => this.#controller.abort());
    }
    const moved = await this.#result;
    this.#controller.abort();
    return moved;
  }

  /** Gives the move up because the stream has ended otherwise. */
  cancel(): void {
    this.#controller.abort();
    void this.#result.then((moved) => moved?.reservation.release());
  }
}

/**
 * Calls `onDraining` when `engine` is drained or removed. Returns a function that
 * stops watching.
 */
export function watchEngine(
  ctx: RunContext,
  engine: Backend,
  onDraining: () => void,
): () => void {
  const key = incarnationOf(engine);
  const streams = ctx.activeStreams.get(key) ?? new Set();
  ctx.activeStreams.set(key, streams);
  const stream = { onEngineDraining: onDraining };
  streams.add(stream);
  return () => {
    streams.delete(stream);
    if (streams.size === 0) ctx.activeStreams.delete(key);
  };
}

/**
 * Moves a run that would not end in time at a draining engine. Returns undefined
 * if the run stays there or its state is unknown.
 */
export async function moveFromDrainingEngine(
  ctx: RunContext,
  req: CallerRequest,
  generation: Generation,
  engine: Backend,
  signal: AbortSignal,
): Promise<MovedRun | undefined> {
  if (generation.remainingMs() < MIN_REMAINING_MS_TO_MOVE) return undefined;
  const target = pickTarget(ctx, req, generation, engine.version);
  if (!target || !tryAcquireRetry(ctx, req, "move")) return undefined;
  const tokens = generation.expectedTotalTokens;
  const release = ctx.engineLoads.place(incarnationOf(target), tokens);
  const id = req.metadata.requestId;
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
  ctx.rateLimits.charge(incarnationOf(next));
  const grantedAtMs = ctx.clock.now();
  const reservation = { engine: next, tokens, grantedAtMs, release };
  return { reservation, source: result.source };
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
  version: string,
): Backend | undefined {
  const engines = ofVersion(
    ctx.directory.readyAt(req.service.name, EngineStage.Decode),
    version,
  );
  const inputs = { ...ctx, nowMs: ctx.clock.now() };
  const { expectedTotalTokens, capacity } = generation;
  const ordered = orderDecodeEngines(
    engines,
    expectedTotalTokens,
    capacity.kvTokens,
    inputs,
  );
  return ordered[0];
}
