/**
 * Memory and a slot at a decode engine, reserved before the prompt is read, so
 * that no prompt is read in vain. Reserved is the prompt and the beginning of
 * the answer; what all answers at an engine grow by is kept free as one margin,
 * which takes far less memory than each answer's whole length. Requests that
 * find every engine full wait a short time, in the order of `room_order`, and
 * one of them asks at a time.
 */
import { sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import type { Service } from "../config/routing_table.ts";
import { orderDecodeEngines } from "../decide/engine_placement.ts";
import { nextWaiter, type RoomWaiter } from "../decide/room_order.ts";
import { HoldEnd, type RunContext } from "./run_context.ts";

/** A place at a decode engine. */
export interface Room {
  engine: Backend;
  /** Absent when the engine takes no reservations. */
  holdId?: string;
  tokens: number;
  grantedAtMs: number;
  /** Takes the request out of the book. */
  release(): void;
}

/** What a request needs and how long it may wait. */
export interface RoomRequest extends RoomWaiter {
  requestId: string;
  tokens: number;
  /** What its engine has to have free besides, in tokens. */
  marginTokens: number;
  signal: AbortSignal;
  /** Incarnations that are not asked. */
  excluded: ReadonlySet<string>;
}

interface Waiting extends RoomRequest {
  settle(room: Room | undefined): void;
}

/** Pause between two rounds of asking while requests wait, in milliseconds. */
const ASK_PAUSE_MS = 15;
/** Life of a reservation, in milliseconds; prompts are read within it. */
const HOLD_LIFE_MS = 1_800;

/** Life of a reservation that only proves that memory is free, in ms. */
const MARGIN_HOLD_MS = 10;

/** Hands out places at the decode engines of one service. */
export class DecodeRooms {
  readonly #ctx: RunContext;
  readonly #service: Service;
  readonly #waiting = new Set<Waiting>();
  #asking = false;

  constructor(ctx: RunContext, service: Service) {
    this.#ctx = ctx;
    this.#service = service;
  }

  /** Requests that wait now. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** A place, or undefined when there is none in time. */
  async acquire(req: RoomRequest): Promise<Room | undefined> {
    if (this.#waiting.size === 0) {
      const room = await this.#ask(req);
      if (room || req.signal.aborted) return room;
    }
    if (this.#ctx.clock.now() >= req.untilMs) return undefined;
    return await this.#wait(req);
  }

  #wait(req: RoomRequest): Promise<Room | undefined> {
    return new Promise((resolve) => {
      const waiting: Waiting = {
        ...req,
        settle: (room) => {
          this.#waiting.delete(waiting);
          req.signal.removeEventListener("abort", onAbort);
          resolve(room);
        },
      };
      const onAbort = () => waiting.settle(undefined);
      req.signal.addEventListener("abort", onAbort, { once: true });
      this.#waiting.add(waiting);
      if (!this.#asking) void this.#askForWaiting();
    });
  }

  async #askForWaiting(): Promise<void> {
    this.#asking = true;
    while (this.#waiting.size > 0) {
      this.#expire();
      const next = nextWaiter(this.#waiting, this.#ctx.clock.now());
      if (!next) break;
      const room = await this.#ask(next);
      if (room) {
        if (this.#waiting.has(next)) next.settle(room);
        else this.giveBack(room);
      } else {
        await sleep(ASK_PAUSE_MS);
      }
    }
    this.#asking = false;
  }

  #expire(): void {
    const nowMs = this.#ctx.clock.now();
    for (const waiting of [...this.#waiting]) {
      if (waiting.untilMs <= nowMs) waiting.settle(undefined);
    }
  }

  /** Asks the engines in turn. */
  async #ask(req: RoomRequest): Promise<Room | undefined> {
    const ctx = this.#ctx;
    const capacity = this.#service.engine;
    if (!capacity) return undefined;
    const engines = ctx.directory
      .readyAt(this.#service.name, EngineStage.Decode);
    const inputs = { ...ctx, nowMs: ctx.clock.now() };
    const ordered = orderDecodeEngines(
      engines,
      req.tokens,
      capacity.kvTokens,
      inputs,
    );
    const asked = ordered
      .filter((engine) => !req.excluded.has(incarnationOf(engine)))
      .slice(0, ctx.policy.maxRoomAsks);
    for (const engine of asked) {
      if (req.signal.aborted) return undefined;
      const room = await this.#askOne(engine, req, capacity.maxHoldMs);
      if (room) return room;
    }
    return undefined;
  }

  async #askOne(
    engine: Backend,
    req: RoomRequest,
    maxHoldMs: number,
  ): Promise<Room | undefined> {
    const ctx = this.#ctx;
    const key = incarnationOf(engine);
    const release = ctx.book.place(key, req.tokens);
    const grantedAtMs = ctx.clock.now();
    const room = { engine, tokens: req.tokens, grantedAtMs, release };
    if (maxHoldMs <= 0) return room;
    const ttlMs = Math.min(HOLD_LIFE_MS, maxHoldMs);
    const result = await ctx.engines.takeHold(
      engine,
      req.tokens,
      ttlMs,
      req.signal,
    );
    ctx.metrics.holds.inc({ result: result.end });
    if (result.end === HoldEnd.Granted) {
      return await this.#keep({ ...room, holdId: result.holdId }, req);
    }
    release();
    if (result.end === HoldEnd.NoRoom) ctx.book.refused(key, req.tokens);
    else this.#unreachable(engine, result.message ?? "");
    return undefined;
  }

  /** Keeps a granted place if its engine has the margin free besides. */
  async #keep(room: Room, req: RoomRequest): Promise<Room | undefined> {
    const { book } = this.#ctx;
    const key = incarnationOf(room.engine);
    const hasMargin = await this.#hasMargin(room.engine, req);
    if (hasMargin) book.accepted(key, req.tokens);
    else book.refused(key, req.tokens);
    if (hasMargin && !req.signal.aborted) return room;
    this.giveBack(room);
    return undefined;
  }

  /**
   * True when an engine has memory free for what its generations make until one
   * of them ends. Only a reservation tells, so it is made and lapses at once.
   */
  async #hasMargin(engine: Backend, req: RoomRequest): Promise<boolean> {
    const { engines, metrics } = this.#ctx;
    if (req.marginTokens === 0) return true;
    const result = await engines.takeHold(
      engine,
      req.marginTokens,
      MARGIN_HOLD_MS,
      req.signal,
    );
    if (result.end !== HoldEnd.NoRoom) return true;
    metrics.holds.inc({ result: "no_margin" });
    return false;
  }

  #unreachable(engine: Backend, message: string): void {
    const ctx = this.#ctx;
    ctx.log("hold_failed", { backend: engine.id, message });
    ctx.health.eject(incarnationOf(engine));
    ctx.upstream.retire(engine);
  }

  /** Returns a place that was not used. */
  giveBack(room: Room): void {
    room.release();
    if (room.holdId) this.#ctx.engines.dropHold(room.engine, room.holdId);
  }
}
