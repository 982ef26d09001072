/**
 * One generation: memory at a decode engine is reserved first, then the prompt
 * is read at a prefill engine, then the decode engine takes both and streams.
 * Until the decode engine got the request nothing has run, and each step may be
 * repeated elsewhere. After that only a resumable stream goes on at another
 * engine, and only when the one before was cut off.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import type { DecodeRooms, Room } from "./decode_room.ts";
import { withDeadline } from "./deadline.ts";
import {
  healthVerdictOf,
  runStreamCall,
  StreamEnd,
  type StreamResult,
} from "./stream_call.ts";
import { Generation } from "./generation.ts";
import { moveAway, watchEngine } from "./run_move.ts";
import { runPlainStream } from "./plain_stream.ts";
import { READ_OVERHEAD_MS } from "./prompt_read.ts";
import { refuse } from "./refuse.ts";
import {
  ageMs,
  type CallerRequest,
  judgeBackend,
  remainingMs,
  type RunContext,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";
import { BUSY_MS, StreamOutcomes } from "./stream_outcome.ts";
import { NotPlaced, type Placement, StreamPlacer } from "./stream_placement.ts";

/** Pauses of a resumable stream after which its engine is taken for dead. */
const SILENCE_GAPS = 2;
/** Longest wait for the first event of a resumable stream, in milliseconds. */
const FIRST_EVENT_SILENCE_MS = 700;
/** Engines that one request is placed at in turn. */
const MAX_PLACEMENTS = 4;

/** Runs one generation to its end. */
export function runStream(
  ctx: RunContext,
  req: CallerRequest,
  rooms: DecodeRooms,
): Promise<RunOutcome> {
  const capacity = req.service.engine;
  const prompt = req.facts.prompt;
  if (!capacity || !prompt) return runPlainStream(ctx, req);
  const expected = ctx.estimateOf(req.route.name).expect(prompt);
  const { lastEventId } = req.facts;
  const generation = new Generation(prompt, capacity, expected, lastEventId);
  return new StreamRun(ctx, req, rooms, generation).run();
}

class StreamRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #generation: Generation;
  readonly #placer: StreamPlacer;
  readonly #outcomes: StreamOutcomes;
  /** A move to another engine that is under way. */
  #move: Promise<Placement | undefined> | undefined;
  /** Where a moved run goes on. */
  #continuation: Placement | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    rooms: DecodeRooms,
    generation: Generation,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#generation = generation;
    this.#placer = new StreamPlacer(ctx, req, rooms, generation);
    this.#outcomes = new StreamOutcomes(ctx, req, generation.progress);
  }

  async run(): Promise<RunOutcome> {
    const ctx = this.#ctx;
    const { prompt, capacity } = this.#generation;
    ctx.allowanceOf(this.#req.service.name).countRequest();
    if (prompt.promptTokens > capacity.kvTokens) {
      return refuse(ctx, this.#req, RunReason.TooLarge, BUSY_MS);
    }
    const work = (signal: AbortSignal) => this.#runInTurn(signal);
    try {
      return await withDeadline(ctx, this.#req, work);
    } finally {
      this.#placer.close();
    }
  }

  /** Tries one engine after another until the request has an end. */
  async #runInTurn(signal: AbortSignal): Promise<RunOutcome> {
    for (let placement = 0; placement < MAX_PLACEMENTS; placement += 1) {
      const next = await this.#next(signal);
      if (typeof next === "string") return this.#notPlaced(next);
      const result = await this.#stream(next, signal);
      next.room.release();
      const outcome = await this.#take(result, next, signal);
      if (outcome) return outcome;
    }
    return this.#outcomes.stopped(RunReason.NotExecuted);
  }

  async #next(signal: AbortSignal): Promise<Placement | NotPlaced> {
    const continuation = this.#continuation;
    this.#continuation = undefined;
    if (continuation) return continuation;
    return await this.#placer.place(this.#outcomes.sends > 0, signal);
  }

  #notPlaced(reason: NotPlaced): RunOutcome {
    switch (reason) {
      case NotPlaced.Aborted:
        return this.#outcomes.aborted();
      case NotPlaced.NoRoom:
        return this.#outcomes.noRoom();
      case NotPlaced.NoAllowance:
        return this.#outcomes.stopped(RunReason.NotExecuted);
    }
  }

  async #stream(
    { room, read, source }: Placement,
    signal: AbortSignal,
  ): Promise<StreamResult> {
    const ctx = this.#ctx;
    const req = this.#req;
    this.#outcomes.sends += 1;
    this.#outcomes.attempts += 1;
    this.#outcomes.lastBackend = room.engine.id;
    ctx.log("decode_send", {
      req: req.facts.requestId,
      backend: room.engine.id,
      prefill: read?.engine.id,
      prompt_tokens: this.#generation.prompt.promptTokens,
      reserved_tokens: room.tokens,
      age_ms: Math.round(ageMs(ctx, req)),
      hold_age_ms: Math.round(ctx.clock.now() - room.grantedAtMs),
      after: this.#generation.progress.lastEventId,
      config: req.configVersion,
    });
    const leave = watchEngine(ctx, room.engine, () => {
      this.#move ??= moveAway(ctx, req, this.#generation, room.engine, signal);
    });
    const onBegun = source
      ? () => {}
      : ctx.book.startReading(incarnationOf(room.engine), this.#readTokens());
    const result = await runStreamCall(ctx, req, {
      backend: room.engine,
      progress: this.#generation.progress,
      signal,
      silenceMs: this.#silenceMs(),
      onBegun,
      isLost: () => this.#isLost(room.engine, signal),
      directives: {
        remainingMs: remainingMs(ctx, req),
        backendId: room.engine.id,
        priority: req.route.priority,
        holdId: room.holdId,
        kvSource: source,
        lastEventId: this.#generation.progress.lastEventId,
      },
    });
    leave();
    return result;
  }

  /** What an engine reads that has none of this generation's memory. */
  #readTokens(): number {
    return this.#generation.prompt.promptTokens + this.#generation.madeTokens;
  }

  /**
   * True when the engine of a silent stream is gone and the stream can go on
   * elsewhere. Silence alone is no reason: the engine may have put the run off.
   */
  async #isLost(engine: Backend, signal: AbortSignal): Promise<boolean> {
    const ctx = this.#ctx;
    if (!this.#mayResume()) return false;
    if (await ctx.engines.isAlive(engine, signal)) return false;
    ctx.log("engine_unreachable", {
      req: this.#req.facts.requestId,
      backend: engine.id,
    });
    ctx.health.eject(incarnationOf(engine));
    const { available } = ctx.allowanceOf(this.#req.service.name);
    if (signal.aborted || available < 2) return false;
    return await this.#placer.findSpare(signal);
  }

  #silenceMs(): number {
    const { resumable, maxEventGapMs } = this.#req.route;
    if (!resumable) return 0;
    const gapMs = SILENCE_GAPS * (maxEventGapMs || FIRST_EVENT_SILENCE_MS);
    return Math.max(FIRST_EVENT_SILENCE_MS, gapMs);
  }

  /** Takes in one stream's end; undefined when another engine is to be tried. */
  async #take(
    result: StreamResult,
    placement: Placement,
    signal: AbortSignal,
  ): Promise<RunOutcome | undefined> {
    const { room, read } = placement;
    if (read && result.events > 0) this.#placer.taken(read);
    if (result.end === StreamEnd.Complete) {
      this.#recordHealth(result, room);
      this.#learn();
      return this.#outcomes.answered();
    }
    if (signal.aborted) {
      // Without an answer the engine may not have taken the prompt.
      if (result.status === 0) read?.drop();
      return this.#outcomes.aborted();
    }
    const continuation = await this.#move;
    this.#move = undefined;
    if (continuation && result.end === StreamEnd.Cut) {
      this.#outcomes.attempts -= 1;
      this.#continuation = continuation;
      return undefined;
    }
    this.#recordHealth(result, room);
    this.#logEnd(result, room);
    if (result.end === StreamEnd.NotExecuted) {
      return this.#notExecuted(result, placement);
    }
    if (result.end === StreamEnd.BackendError) {
      return this.#outcomes.backendError(result);
    }
    return this.#mayResume() ? undefined : this.#outcomes.failed(result);
  }

  #notExecuted(
    result: StreamResult,
    placement: Placement,
  ): RunOutcome | undefined {
    this.#outcomes.attempts -= 1;
    this.#placer.turnedDown(result, placement);
    // A run that was moved can't begin again unless it may be resumed.
    const moved = placement.source !== undefined &&
      placement.read === undefined;
    return moved && !this.#req.route.resumable
      ? this.#outcomes.failed(result)
      : undefined;
  }

  #mayResume(): boolean {
    return this.#req.route.resumable &&
      this.#outcomes.attempts < this.#req.route.maxAttempts;
  }

  #logEnd(result: StreamResult, room: Room): void {
    this.#ctx.log("decode_ended", {
      req: this.#req.facts.requestId,
      backend: room.engine.id,
      end: result.end,
      status: result.status,
      events: this.#generation.progress.events,
      message: result.message,
    });
  }

  #recordHealth(result: StreamResult, room: Room): void {
    const verdict = healthVerdictOf(result.end);
    if (verdict) judgeBackend(this.#ctx, room.engine, verdict, 0);
  }

  /** Takes in the length and the work of a whole answer. */
  #learn(): void {
    const { ctx, req } = { ctx: this.#ctx, req: this.#req };
    const { prompt, madeTokens } = this.#generation;
    if (!req.facts.lastEventId) {
      ctx.estimateOf(req.route.name).learn(prompt, madeTokens);
    }
    const work = ctx.workOf(req.service.name);
    work.readMs += prompt.promptTokens / ctx.policy.readTokensPerMs +
      READ_OVERHEAD_MS;
    work.decodeMs += this.#generation.decodeWorkMs();
  }
}
