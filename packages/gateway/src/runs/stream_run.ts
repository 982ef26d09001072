/**
 * One generation: memory at a decode engine is reserved first, then the prompt
 * is read at a prefill engine, then the decode engine takes both and streams.
 * Until the decode engine got the request nothing has run, and each step may be
 * repeated elsewhere. After that only a resumable stream goes on at another
 * engine, and only when the one before was cut off.
 */
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { CallVerdict } from "../decide/backend_health.ts";
import { ReadPlace } from "../decide/read_plan.ts";
import type { KvSource } from "../http/wire_codec.ts";
import type { DecodeRooms, Room } from "./decode_room.ts";
import {
  runDecodeStream,
  StreamEnd,
  type StreamResult,
} from "./decode_stream.ts";
import { Generation } from "./generation.ts";
import { moveAway, watchEngine } from "./run_move.ts";
import {
  PromptReader,
  READ_OVERHEAD_MS,
  type ReadPrompt,
} from "./prompt_read.ts";
import { fail, refuse } from "./refuse.ts";
import { promisesNotRun } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  noteMisdirected,
  remainingMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
  takeRepeat,
} from "./run_context.ts";

/** Time from the end of reading to the first event, in milliseconds. */
const FIRST_EVENT_MS = 90;
/** Pauses of a resumable stream after which its engine is taken for dead. */
const SILENCE_GAPS = 2;
/** Longest wait for the first event of a resumable stream, in milliseconds. */
const FIRST_EVENT_SILENCE_MS = 700;
/** Engines that one request is placed at in turn. */
const MAX_PLACEMENTS = 4;
/** Wait that a rejected caller is told, on average, in milliseconds. */
const BUSY_MS = 3_200;
/** Part of a read prompt's life in which another engine may still take it. */
const REUSABLE_SHARE = 0.7;
const STATUS_MISDIRECTED = 421;
const NO_ENGINE_BUSY_MS = 1_000;

/** Where a generation runs next, and where its memory lies. */
interface Placement {
  room: Room;
  /** The prompt that was read for this placement. */
  read?: ReadPrompt;
  source?: KvSource;
}

/** Runs one generation to its end. */
export function runStream(
  ctx: RunContext,
  req: CallerRequest,
  rooms: DecodeRooms,
): Promise<RunOutcome> {
  const capacity = req.service.engine;
  const prompt = req.facts.prompt;
  if (!capacity || !prompt) {
    return Promise.resolve(refuse(ctx, req, RunReason.NoBackend, BUSY_MS));
  }
  const expected = ctx.estimateOf(req.route.name).expect(prompt);
  const { lastEventId } = req.facts;
  const generation = new Generation(prompt, capacity, expected, lastEventId);
  return new StreamRun(ctx, req, rooms, generation).run();
}

class StreamRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #rooms: DecodeRooms;
  readonly #reader: PromptReader;
  readonly #excluded = new Set<string>();
  readonly #generation: Generation;
  #attempts = 0;
  #sends = 0;
  #lastBackend: string | undefined;
  /** A move to another engine that is under way. */
  #move: Promise<Placement | undefined> | undefined;
  /** Where a moved run goes on. */
  #continuation: Placement | undefined;
  /** A read prompt that the last engine did not take. */
  #unusedRead: ReadPrompt | undefined;
  /** A place found for a stream whose engine fell silent. */
  #spareRoom: Room | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    rooms: DecodeRooms,
    generation: Generation,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#rooms = rooms;
    this.#reader = new PromptReader(ctx, req, generation.prompt);
    this.#generation = generation;
  }

  async run(): Promise<RunOutcome> {
    const ctx = this.#ctx;
    ctx.allowanceOf(this.#req.service.name).countRequest();
    if (
      this.#generation.prompt.promptTokens > this.#generation.capacity.kvTokens
    ) {
      return refuse(ctx, this.#req, RunReason.TooLarge, BUSY_MS);
    }
    const deadline = new AbortController();
    const timer = setTimeout(
      () => deadline.abort(),
      Math.max(1, remainingMs(ctx, this.#req)),
    );
    const signal = AbortSignal.any([this.#req.signal, deadline.signal]);
    try {
      return await this.#place(signal);
    } finally {
      clearTimeout(timer);
      this.#unusedRead?.drop();
      if (this.#spareRoom) this.#rooms.giveBack(this.#spareRoom);
    }
  }

  async #place(signal: AbortSignal): Promise<RunOutcome> {
    for (let placement = 0; placement < MAX_PLACEMENTS; placement += 1) {
      const next = this.#continuation ?? await this.#prepare(signal);
      this.#continuation = undefined;
      if ("end" in next) return next;
      const result = await this.#stream(next, signal);
      next.room.release();
      const outcome = await this.#take(result, next, signal);
      if (outcome) return outcome;
    }
    return this.#stop(RunReason.NotExecuted);
  }

  /** Reserves memory and has the prompt read, or ends the request. */
  async #prepare(signal: AbortSignal): Promise<Placement | RunOutcome> {
    const startMs = this.#ctx.clock.now();
    const room = this.#spareRoom ?? await this.#findRoom(signal);
    this.#spareRoom = undefined;
    if (signal.aborted) return this.#ended(room);
    this.#ctx.metrics.roomWait.observe(
      (this.#ctx.clock.now() - startMs) / 1000,
    );
    if (!room) return this.#noRoom();
    const read = this.#unusedRead ?? await this.#readPrompt(signal);
    this.#unusedRead = undefined;
    if (signal.aborted) return this.#ended(room, read);
    if (this.#sends > 0 && !takeRepeat(this.#ctx, this.#req, "decode")) {
      read?.drop();
      this.#rooms.giveBack(room);
      return this.#stop(RunReason.NotExecuted);
    }
    return { room, read, source: read?.source };
  }

  #findRoom(signal: AbortSignal): Promise<Room | undefined> {
    const { req, ctx } = { req: this.#req, ctx: this.#ctx };
    const stepsMs = this.#reader.plan().expectedMs + FIRST_EVENT_MS;
    const onTimeUntilMs = req.arrivedMs + req.route.targetLatencyMs - stepsMs;
    const untilMs = Math.min(
      onTimeUntilMs,
      req.arrivedMs + ctx.policy.maxRoomWaitMs,
    );
    return this.#rooms.acquire({
      requestId: req.facts.requestId,
      priority: req.route.priority,
      tokens: this.#tokensToReserve(),
      onTimeUntilMs,
      untilMs,
      signal,
      excluded: this.#excluded,
    });
  }

  #tokensToReserve(): number {
    const ratio = this.#ctx.policy.outputReserveRatio;
    return this.#generation.tokensToReserve(ratio);
  }

  /** The read prompt; undefined when the decode engine has to read it. */
  async #readPrompt(signal: AbortSignal): Promise<ReadPrompt | undefined> {
    const plan = this.#reader.plan();
    if (plan.place === ReadPlace.Decode) {
      this.#ctx.log("decode_reads", {
        req: this.#req.facts.requestId,
        expected_ms: Math.round(plan.expectedMs),
      });
      return undefined;
    }
    const { progress, madeTokens } = this.#generation;
    return await this.#reader.read(progress.lastEventId, madeTokens, signal);
  }

  async #stream(
    { room, read, source }: Placement,
    signal: AbortSignal,
  ): Promise<StreamResult> {
    const ctx = this.#ctx;
    const req = this.#req;
    this.#sends += 1;
    this.#attempts += 1;
    this.#lastBackend = room.engine.id;
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
    const result = await runDecodeStream(ctx, req, {
      engine: room.engine,
      progress: this.#generation.progress,
      signal,
      silenceMs: this.#silenceMs(),
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
    if (
      signal.aborted || ctx.allowanceOf(this.#req.service.name).available < 2
    ) {
      return false;
    }
    this.#spareRoom ??= await this.#findRoom(signal);
    return this.#spareRoom !== undefined;
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
    if (read && result.events > 0) this.#reader.taken(read.engine);
    if (result.end === StreamEnd.Complete) {
      this.#recordHealth(result, room);
      return this.#complete();
    }
    if (signal.aborted) {
      return this.#ended(undefined, unused(result, placement));
    }
    const continuation = await this.#move;
    this.#move = undefined;
    if (continuation && result.end === StreamEnd.Cut) {
      this.#attempts -= 1;
      this.#continuation = continuation;
      return undefined;
    }
    this.#recordHealth(result, room);
    this.#ctx.log("decode_ended", {
      req: this.#req.facts.requestId,
      backend: room.engine.id,
      end: result.end,
      status: result.status,
      events: this.#generation.progress.events,
      message: result.message,
    });
    if (result.end === StreamEnd.NotExecuted) {
      this.#attempts -= 1;
      return this.#notExecuted(result, placement);
    }
    if (result.end === StreamEnd.EngineError) {
      return this.#passError(result);
    }
    return this.#mayResume() ? undefined : this.#failed(result);
  }

  #notExecuted(
    result: StreamResult,
    { room, read, source }: Placement,
  ): RunOutcome | undefined {
    const misdirected = result.status === STATUS_MISDIRECTED;
    if (misdirected) {
      const facts = this.#ctx.codec.readReply(result.status, result.headers);
      noteMisdirected(this.#ctx, room.engine, facts.backendId);
    }
    const untouched = misdirected || result.status === 0;
    if (untouched || !source) this.#excluded.add(incarnationOf(room.engine));
    if (!untouched) this.#countTurnedDown(room.engine);
    if (read) this.#keepOrDrop(read, untouched);
    if (room.holdId) this.#ctx.engines.dropHold(room.engine, room.holdId);
    // A run that was moved can't begin again unless it may be resumed.
    const moved = source !== undefined && read === undefined;
    return moved && !this.#req.route.resumable
      ? this.#failed(result)
      : undefined;
  }

  /**
   * A decode engine that granted memory and turns the request down may be
   * changing its stage, or the prompt's memory is gone where it was read. Both
   * engines are suspected; one that fails with others too is ejected.
   */
  #countTurnedDown(engine: Backend): void {
    const { health } = this.#ctx;
    health.record(incarnationOf(engine), CallVerdict.Silent, 0, []);
  }

  /** Keeps a read prompt for the next engine while it can still be taken. */
  #keepOrDrop(read: ReadPrompt, untouched: boolean): void {
    const ageMs = this.#ctx.clock.now() - read.readAtMs;
    const lives =
      ageMs < this.#generation.capacity.handleLifeMs * REUSABLE_SHARE;
    if (untouched && lives) {
      this.#unusedRead = read;
      return;
    }
    read.drop();
    if (!untouched) this.#reader.exclude(read.engine);
  }

  #mayResume(): boolean {
    return this.#req.route.resumable &&
      this.#attempts < this.#req.route.maxAttempts;
  }

  #recordHealth(result: StreamResult, room: Room): void {
    const ctx = this.#ctx;
    const key = incarnationOf(room.engine);
    const peers = ctx.directory.ready(this.#req.service.name)
      .map(incarnationOf);
    const verdict = healthVerdictOf(result.end);
    if (!verdict) return;
    if (!ctx.health.record(key, verdict, 0, peers)) return;
    ctx.metrics.ejections.inc();
    ctx.log("backend_ejected", { backend: room.engine.id });
    ctx.upstream.retire(room.engine);
  }

  #complete(): RunOutcome {
    const { ctx, req } = { ctx: this.#ctx, req: this.#req };
    const { prompt, madeTokens } = this.#generation;
    if (!req.facts.lastEventId) {
      ctx.estimateOf(req.route.name).learn(prompt, madeTokens);
    }
    const work = ctx.workOf(req.service.name);
    work.readMs += prompt.promptTokens / ctx.policy.readTokensPerMs +
      READ_OVERHEAD_MS;
    work.decodeMs += this.#generation.decodeWorkMs();
    // A stream without events is still a whole answer.
    if (!req.responder.started) req.responder.startStream(200, []);
    req.responder.endStream();
    return this.#outcome(RunEnd.Answered, RunReason.None, 200);
  }

  #passError(result: StreamResult): RunOutcome {
    const { responder } = this.#req;
    if (responder.started || promisesNotRun(result.status)) {
      return this.#failed(result);
    }
    const headers = this.#ctx.codec.toCaller(result.headers);
    responder.reply(result.status, headers, result.body);
    return this.#outcome(RunEnd.BackendError, RunReason.None, result.status);
  }

  #failed(result: StreamResult): RunOutcome {
    const reason = result.end === StreamEnd.Cut
      ? RunReason.StreamCut
      : RunReason.NoAnswer;
    return {
      ...fail(this.#ctx, this.#req, reason, this.#attempts, this.#lastBackend),
      events: this.#generation.progress.events,
    };
  }

  /** No engine is tried any more; what was not run is refused. */
  #stop(reason: RunReason): RunOutcome {
    if (this.#attempts > 0) {
      return fail(
        this.#ctx,
        this.#req,
        RunReason.StreamCut,
        this.#attempts,
        this.#lastBackend,
      );
    }
    return refuse(this.#ctx, this.#req, reason, BUSY_MS, this.#sends);
  }

  #noRoom(): RunOutcome {
    const decoders = this.#ctx.directory.readyAt(
      this.#req.service.name,
      EngineStage.Decode,
    );
    const none = decoders.length === 0;
    this.#ctx.log("no_room", {
      req: this.#req.facts.requestId,
      tokens: this.#tokensToReserve(),
      decode_engines: decoders.length,
      waiting: this.#rooms.waiting,
      age_ms: Math.round(ageMs(this.#ctx, this.#req)),
      read_ms: Math.round(this.#reader.plan().expectedMs),
    });
    if (none && this.#attempts === 0) {
      const reason = RunReason.NoBackend;
      return refuse(this.#ctx, this.#req, reason, NO_ENGINE_BUSY_MS);
    }
    return this.#stop(RunReason.NoRoom);
  }

  /** The caller has left or the time is over. */
  #ended(room?: Room, read?: ReadPrompt): RunOutcome {
    read?.drop();
    if (room) this.#rooms.giveBack(room);
    if (this.#req.signal.aborted) {
      return this.#outcome(RunEnd.CallerLeft, RunReason.None, 0);
    }
    if (this.#attempts === 0) {
      return refuse(this.#ctx, this.#req, RunReason.TooLate, BUSY_MS);
    }
    return fail(
      this.#ctx,
      this.#req,
      RunReason.TimedOut,
      this.#attempts,
      this.#lastBackend,
    );
  }

  #outcome(end: RunEnd, reason: RunReason, status: number): RunOutcome {
    const { firstEventAtMs, events } = this.#generation.progress;
    return {
      end,
      reason,
      status,
      attempts: this.#attempts,
      backendId: this.#lastBackend,
      events,
      firstByteMs: firstEventAtMs === undefined
        ? undefined
        : firstEventAtMs - this.#req.arrivedMs,
    };
  }
}

/** The prompt that the decode engine did not take, if any. */
function unused(
  result: StreamResult,
  placement: Placement,
): ReadPrompt | undefined {
  return result.status === 0 ? placement.read : undefined;
}

function healthVerdictOf(end: StreamEnd): CallVerdict | undefined {
  switch (end) {
    case StreamEnd.Complete:
      return CallVerdict.Good;
    case StreamEnd.EngineError:
      return CallVerdict.Error;
    case StreamEnd.Cut:
    case StreamEnd.Silent:
      return CallVerdict.Silent;
    default:
      return undefined;
  }
}
