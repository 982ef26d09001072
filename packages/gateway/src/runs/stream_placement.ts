/**
 * Where a generation runs: memory at a decode engine is reserved first, then
 * the prompt is read at a prefill engine near it. What an engine turned down is
 * kept for the next one while it can still be taken.
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
import type { StreamResult } from "./stream_call.ts";
import type { Generation } from "./generation.ts";
import {
  FIRST_EVENT_MS,
  PromptReader,
  type ReadPrompt,
} from "./prompt_read.ts";
import {
  ageMs,
  type CallerRequest,
  noteMisdirected,
  type RunContext,
  takeRepeat,
} from "./run_context.ts";

/** Where a generation runs next, and where its memory lies. */
export interface Placement {
  room: Room;
  /** The prompt that was read for this placement. */
  read?: ReadPrompt;
  source?: KvSource;
}

/** Why a generation was not placed. */
export enum NotPlaced {
  NoRoom = "no_room",
  /** No repeated call is allowed now. */
  NoAllowance = "no_allowance",
  /** The caller has left or the time is over. */
  Aborted = "aborted",
}

/** Part of a read prompt's life in which another engine may still take it. */
const REUSABLE_SHARE = 0.7;
/** The margin never takes more of an engine's memory than this share. */
const MOST_MARGIN_SHARE = 0.1;
const STATUS_MISDIRECTED = 421;

/** Places one generation, again after an engine turned it down. */
export class StreamPlacer {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #rooms: DecodeRooms;
  readonly #generation: Generation;
  readonly #reader: PromptReader;
  readonly #excluded = new Set<string>();
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
    this.#generation = generation;
    this.#reader = new PromptReader(ctx, req, generation.prompt);
  }

  /** Reserves memory and has the prompt read; `repeated` after a first send. */
  async place(
    repeated: boolean,
    signal: AbortSignal,
  ): Promise<Placement | NotPlaced> {
    const startMs = this.#ctx.clock.now();
    const room = this.#spareRoom ?? await this.#findRoom(signal);
    this.#spareRoom = undefined;
    if (signal.aborted) return this.#giveUp(NotPlaced.Aborted, room);
    this.#ctx.metrics.roomWait.observe(
      (this.#ctx.clock.now() - startMs) / 1000,
    );
    if (!room) {
      this.#logNoRoom();
      return NotPlaced.NoRoom;
    }
    const read = this.#unusedRead ??
      await this.#readPrompt(room.engine.zone, signal);
    this.#unusedRead = undefined;
    if (signal.aborted) return this.#giveUp(NotPlaced.Aborted, room, read);
    if (repeated && !takeRepeat(this.#ctx, this.#req, "decode")) {
      return this.#giveUp(NotPlaced.NoAllowance, room, read);
    }
    return { room, read, source: read?.source };
  }

  /** Looks for a place beside the present one; true when there is one. */
  async findSpare(signal: AbortSignal): Promise<boolean> {
    this.#spareRoom ??= await this.#findRoom(signal);
    return this.#spareRoom !== undefined;
  }

  /** The decode engine took the prompt. */
  taken(read: ReadPrompt): void {
    this.#reader.taken(read.engine);
  }

  /** Takes in that the engine of a placement turned the request down. */
  turnedDown(result: StreamResult, { room, read, source }: Placement): void {
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
  }

  /** Gives back what was not used. */
  close(): void {
    this.#unusedRead?.drop();
    if (this.#spareRoom) this.#rooms.giveBack(this.#spareRoom);
  }

  #giveUp(reason: NotPlaced, room?: Room, read?: ReadPrompt): NotPlaced {
    read?.drop();
    if (room) this.#rooms.giveBack(room);
    return reason;
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
      marginTokens: this.#marginTokens(),
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

  /** What all answers at an engine grow by until one of them ends. */
  #marginTokens(): number {
    const { prompt, capacity } = this.#generation;
    const estimate = this.#ctx.estimateOf(this.#req.route.name);
    const answers = this.#ctx.policy.roomMarginAnswers;
    const tokens = Math.floor(answers * estimate.usual(prompt));
    const most = Math.floor(capacity.kvTokens * MOST_MARGIN_SHARE);
    return Math.min(tokens, most);
  }

  /** The read prompt; undefined when the decode engine has to read it. */
  async #readPrompt(
    zone: string,
    signal: AbortSignal,
  ): Promise<ReadPrompt | undefined> {
    const plan = this.#reader.plan(zone);
    if (plan.place === ReadPlace.Decode) {
      this.#ctx.log("decode_reads", {
        req: this.#req.facts.requestId,
        expected_ms: Math.round(plan.expectedMs),
      });
      return undefined;
    }
    const { progress, madeTokens } = this.#generation;
    return await this.#reader.read(
      zone,
      progress.lastEventId,
      madeTokens,
      signal,
    );
  }

  /**
   * A decode engine that granted memory and turns the request down may be
   * changing its stage, or the prompt's memory is gone where it was read. Both
   * engines are suspected; one that fails with others too is ejected.
   */
  #countTurnedDown(engine: Backend): void {
    const { health } = this.#ctx;
    health.record(incarnationOf(engine), CallVerdict.Silent, 0, () => []);
  }

  /** Keeps a read prompt for the next engine while it can still be taken. */
  #keepOrDrop(read: ReadPrompt, untouched: boolean): void {
    const readAgeMs = this.#ctx.clock.now() - read.readAtMs;
    const lives =
      readAgeMs < this.#generation.capacity.handleLifeMs * REUSABLE_SHARE;
    if (untouched && lives) {
      this.#unusedRead = read;
      return;
    }
    read.drop();
    if (!untouched) this.#reader.exclude(read.engine);
  }

  #logNoRoom(): void {
    const decoders = this.#ctx.directory.readyAt(
      this.#req.service.name,
      EngineStage.Decode,
    );
    this.#ctx.log("no_room", {
      req: this.#req.facts.requestId,
      tokens: this.#tokensToReserve(),
      decode_engines: decoders.length,
      waiting: this.#rooms.waiting,
      age_ms: Math.round(ageMs(this.#ctx, this.#req)),
      read_ms: Math.round(this.#reader.plan().expectedMs),
    });
  }
}
