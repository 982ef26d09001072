/**
 * Moves a running generation off a draining engine. Its KV-cache memory is first
 * copied to another engine while the run goes on; only once there is room for it
 * does the engine stop the run, and the stream continues at the other engine
 * after its last event. This continues the same run rather than starting a
 * second one, so requests that may run only once are moved too.
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
import type { Generation } from "./generation.ts";
import type { MovedRun, MoveOutcome, MoveSignals } from "./pending_move.ts";
import {
  type CallerRequest,
  CopyEnd,
  type CopyResult,
  HoldEnd,
  MoveEnd,
  type MoveResult,
  type RunContext,
  tryAcquireRetry,
} from "./run_context.ts";

/** A run expected to end within this time stays at a draining engine, in ms. */
const MIN_REMAINING_MS_TO_MOVE = 1_200;
/**
 * Time since its drain began in which an engine may be sent requests, in
 * milliseconds.
 */
const MAX_STAY_MS = 1_900;
/** Engines that are asked for room one after another. */
const MAX_TARGETS = 2;
/** Lifetime of a reservation that only asks for room, in milliseconds. */
const ROOM_CHECK_TTL_MS = 1;
/** Pause between two searches for an engine with room, in milliseconds. */
const SEARCH_INTERVAL_MS = 300;
/** Calls to stop one run after a response was lost. */
const MAX_STOP_CALLS = 5;
/** Pause between two such calls, in milliseconds. */
const STOP_INTERVAL_MS = 100;

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

/** Moves a run that would not end in time at a draining engine. */
export function moveFromDrainingEngine(
  ctx: RunContext,
  req: CallerRequest,
  generation: Generation,
  engine: Backend,
  signals: MoveSignals,
): Promise<MoveOutcome> {
  return new RunMove(ctx, req, generation, engine, signals).run();
}

class RunMove {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #generation: Generation;
  /** The draining engine. */
  readonly #engine: Backend;
  readonly #signals: MoveSignals;
  readonly #startMs: number;
  #hasRetry = false;
  #mayHaveStopped = false;
  /** What an engine that found no room for a copy has kept. */
  #kept: CopyResult | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    generation: Generation,
    engine: Backend,
    signals: MoveSignals,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#generation = generation;
    this.#engine = engine;
    this.#signals = signals;
    this.#startMs = ctx.clock.now();
  }

  /** Moves the run, or returns the retry that it would have taken. */
  async run(): Promise<MoveOutcome> {
    const moved = await this.#search();
    if (!moved && this.#hasRetry) {
      this.#ctx.retryBudgetOf(this.#req.service.name).refund();
    }
    return { moved, mayHaveStopped: this.#mayHaveStopped };
  }

  /** Searches for room until the run has moved or has ended. */
  async #search(): Promise<MovedRun | undefined> {
    const { cancelled, cut } = this.#signals;
    while (!cancelled.aborted && !cut.aborted) {
      const moved = await this.#tryTargets();
      if (moved) return moved;
      await this.#untilNextSearch();
    }
    return cancelled.aborted ? undefined : this.#goBack();
  }

  /** Asks engines for room; undefined if the run stays at its engine so far. */
  async #tryTargets(): Promise<MovedRun | undefined> {
    const { cut } = this.#signals;
    if (!this.#isWorthMoving() || !this.#mayContinue()) return undefined;
    for (const target of this.#targets()) {
      if (!await this.#hasRoom(target)) continue;
      // Others that leave the engine see this one on its way.
      const release = this.#place(target);
      const copy = await this.#copyTo(target);
      if (copy.end === CopyEnd.Copied) {
        return await this.#stopAt(target, copy, release);
      }
      release();
      if (copy.source) this.#kept = copy;
      if (copy.end === CopyEnd.Failed || cut.aborted) return undefined;
    }
    return undefined;
  }

  /**
   * Whether the retry budget allows the run to be sent once more. Asked before
   * anything is done that may stop the run.
   */
  #mayContinue(): boolean {
    this.#hasRetry ||= tryAcquireRetry(this.#ctx, this.#req, "move");
    return this.#hasRetry;
  }

  #isWorthMoving(): boolean {
    return this.#generation.remainingMs() >= MIN_REMAINING_MS_TO_MOVE;
  }

  #targets(): Backend[] {
    const { service } = this.#req;
    const { expectedTotalTokens, capacity } = this.#generation;
    const engines = ofVersion(
      this.#ctx.directory.readyAt(service.name, EngineStage.Decode),
      this.#engine.version,
    );
    return orderDecodeEngines(engines, expectedTotalTokens, capacity.kvTokens, {
      ...this.#ctx,
      nowMs: this.#ctx.clock.now(),
    }).slice(0, MAX_TARGETS);
  }

  /**
   * Asks the target itself for room, with a reservation that lapses at once: the
   * draining engine may stand still, or stop the run before it finds none.
   */
  async #hasRoom(target: Backend): Promise<boolean> {
    const { prompt, generatedTokens } = this.#generation;
    const hold = await this.#ctx.engines.createHold(
      target,
      prompt.promptTokens + generatedTokens,
      ROOM_CHECK_TTL_MS,
      this.#signals.cancelled,
    );
    return hold.end === HoldEnd.Granted && !this.#signals.cut.aborted;
  }

  async #copyTo(target: Backend): Promise<CopyResult> {
    const ended = this.#kept ? this.#untilEnded() : undefined;
    const copy = await this.#ctx.engines.copyRun(
      this.#engine,
      this.#req.metadata.requestId,
      target,
      ended?.signal ?? this.#signals.cancelled,
    );
    ended?.abort();
    if (copy.end !== CopyEnd.Copied) this.#log(target, copy);
    return copy;
  }

  /** Stops the run, whose memory has been copied to `target`. */
  async #stopAt(
    target: Backend,
    copy: CopyResult,
    release: () => void,
  ): Promise<MovedRun | undefined> {
    const result = await this.#stop(target);
    switch (result.end) {
      case MoveEnd.Moved:
        return this.#continueAt(target, result.source, release);
      case MoveEnd.Stayed:
        if (!this.#mayReturn()) {
          return this.#continueAt(target, copy.source, release);
        }
        release();
        return this.#continueAt(this.#engine, result.source);
      case MoveEnd.Ended:
        // Its stream tells whether the caller has all of it.
        await this.#pause(Infinity);
        if (!this.#signals.cancelled.aborted && !this.#hasEnded(copy)) {
          return this.#continueAt(target, copy.source, release);
        }
        break;
      default:
    }
    release();
    this.#free(copy);
    return undefined;
  }

  /** Asks again once a response is lost: the run may have stopped. */
  async #stop(target: Backend): Promise<MoveResult> {
    const { cancelled } = this.#signals;
    for (let calls = 1;; calls += 1) {
      const result = await this.#ctx.engines.moveRun(
        this.#engine,
        this.#req.metadata.requestId,
        target,
        cancelled,
      );
      this.#log(target, result);
      this.#mayHaveStopped ||= result.end !== MoveEnd.Ended &&
        result.end !== MoveEnd.NotMoved;
      const isCertain = result.end !== MoveEnd.Unknown &&
        result.end !== MoveEnd.NotMoved;
      if (isCertain || !this.#mayHaveStopped) return result;
      if (calls === MAX_STOP_CALLS || cancelled.aborted) return result;
      await sleep(STOP_INTERVAL_MS, cancelled);
    }
  }

  /** Continues a run at its engine that was stopped there without a move. */
  #goBack(): MovedRun | undefined {
    if (!this.#kept || this.#hasEnded(this.#kept)) return undefined;
    this.#mayHaveStopped = true;
    if (!this.#mayReturn()) return undefined;
    return this.#continueAt(this.#engine, this.#kept.source);
  }

  /**
   * Whether the run has come to its own end. Engines may stop a run to copy its
   * memory, but one that has sent events since then went on.
   */
  #hasEnded({ engineEvents = Infinity }: CopyResult): boolean {
    if (!this.#signals.closed.aborted || this.#mayHaveStopped) return false;
    const { lastEventId } = this.#generation.progress;
    return Number(lastEventId) > engineEvents;
  }

  /** Whether the draining engine may still be sent a request. */
  #mayReturn(): boolean {
    const { clock, directory } = this.#ctx;
    const sinceMs = directory.leavingSinceMs(this.#engine);
    return clock.now() - sinceMs < MAX_STAY_MS;
  }

  #continueAt(
    engine: Backend,
    source: KvSource | undefined,
    release = this.#place(engine),
  ): MovedRun {
    this.#ctx.rateLimits.charge(incarnationOf(engine));
    const { expectedTotalTokens: tokens } = this.#generation;
    const grantedAtMs = this.#ctx.clock.now();
    return { reservation: { engine, tokens, grantedAtMs, release }, source };
  }

  #place(engine: Backend): () => void {
    const tokens = this.#generation.expectedTotalTokens;
    return this.#ctx.engineLoads.place(incarnationOf(engine), tokens);
  }

  /** Frees a copy that isn't used. */
  #free({ source }: CopyResult): void {
    if (!source) return;
    this.#ctx.engines.deleteKvHandle(this.#engine, source.handle);
  }

  /** Waits until the stream ends, or for `ms`. */
  async #pause(ms: number): Promise<void> {
    const ended = this.#untilEnded();
    await sleep(ms, ended.signal);
    ended.abort();
  }

  /** An engine may know a run only once it has begun. */
  async #untilNextSearch(): Promise<void> {
    const { begun } = this.#signals;
    const waiting = this.#untilEnded();
    if (!begun.aborted) abortWith(begun, waiting);
    await sleep(SEARCH_INTERVAL_MS, waiting.signal);
    waiting.abort();
  }

  /** Its signal aborts when the stream has ended; the caller aborts it too. */
  #untilEnded(): AbortController {
    const { cancelled, cut } = this.#signals;
    const ended = childAbortController(cancelled);
    abortWith(cut, ended);
    return ended;
  }

  #log(target: Backend, result: CopyResult | MoveResult): void {
    const { end, message, engineEvents } = result;
    this.#ctx.log("run_moved", {
      req: this.#req.metadata.requestId,
      from: this.#engine.id,
      to: target.id,
      end,
      message,
      elapsed_ms: Math.round(this.#ctx.clock.now() - this.#startMs),
      events: this.#generation.progress.events,
      last_id: this.#generation.progress.lastEventId,
      engine_events: engineEvents,
    });
  }
}

/** Aborts `controller` when `signal` aborts. */
function abortWith(signal: AbortSignal, controller: AbortController): void {
  if (signal.aborted) return controller.abort();
  const onAbort = () => controller.abort();
  signal.addEventListener("abort", onAbort, { signal: controller.signal });
}
