/**
 * Reserves KV-cache memory and a slot at a decode engine. The reservation is
 * made before prefill, so that no prefill result is wasted for lack of decode
 * memory. It covers the prompt and the beginning of the response. The engine
 * must also have one shared margin free for the growth of all its responses,
 * which takes far less memory than reserving the full length of each response.
 * Requests that find every engine full wait a short time in the order defined
 * in `placement_queue.ts`; only one waiting request contacts the engines at a
 * time. Where the configuration has customers, their shares decide between equally
 * urgent requests, and less urgent ones leave memory to more urgent ones.
 */
import { sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import type { EngineCapacity, Service } from "../config/routing_table.ts";
import { CallOutcome } from "../decide/backend_health.ts";
import { orderDecodeEngines } from "../decide/engine_placement.ts";
import {
  nextPendings,
  type PendingPlacement,
  unreachablePendings,
} from "../decide/placement_queue.ts";
import type { ServiceScheduling } from "../decide/service_scheduling.ts";
import type { ReservePlan } from "../decide/urgent_reserve.ts";
import { recordSilent } from "./liveness.ts";
import { checkRateLimits, shortestLimitWaitMs } from "./rate_limit_check.ts";
import { ejectBackend } from "./record_outcome.ts";
import { HoldEnd, type RunContext } from "./run_context.ts";

/** Memory and a slot for one generation at a decode engine. */
export interface Reservation {
  engine: Backend;
  /**
   * Id of the engine's reservation. Absent when the engine supports none, and
   * for a generation that was moved to this engine.
   */
  holdId?: string;
  tokens: number;
  grantedAtMs: number;
  /** Removes the request from the engine load tracked by this router. */
  release(): void;
}

/** The memory that a request needs, and how long it may wait for it. */
export interface ReservationRequest extends PendingPlacement {
  requestId: string;
  tokens: number;
  /** Memory that the engine must have free in addition, in tokens. */
  marginTokens: number;
  /** Whether customers' shares and the reserve for urgent requests apply. */
  hasCustomers: boolean;
  signal: AbortSignal;
  /** Engine incarnations that are skipped. */
  excluded: ReadonlySet<string>;
  /** Returns the engines that may run the request. */
  select(engines: readonly Backend[]): readonly Backend[];
}

/** A request that is made to one engine. */
interface EngineRequest extends ReservationRequest {
  /** Memory of the engine that is left to more urgent requests, in tokens. */
  withheldTokens: number;
}

interface WaitingRequest extends ReservationRequest {
  settle(reservation: Reservation | undefined): void;
}

/** Delay between rounds of reservation attempts while requests wait, in ms. */
const RETRY_PAUSE_MS = 15;
/** Lifetime of a reservation, in milliseconds; prefill has to finish within it. */
export const HOLD_TTL_MS = 1_800;

/** Shortest interval between two log lines about the reserve, in ms. */
const RESERVE_LOG_INTERVAL_MS = 5_000;
/** Lifetime of a reservation that only probes for free memory, in ms. */
const MARGIN_HOLD_TTL_MS = 10;

/** Reserves memory at the decode engines of one service. */
export class DecodeReservations {
  readonly #ctx: RunContext;
  readonly #service: Service;
  readonly #waiting = new Set<WaitingRequest>();
  #processing = false;
  /** The highest priority number of a request so far. */
  #leastUrgent = -Infinity;
  /** Engines with a reserve when it was last logged, and the time of that. */
  #reservedEngines = 0;
  #reserveLoggedMs = -Infinity;

  constructor(ctx: RunContext, service: Service) {
    this.#ctx = ctx;
    this.#service = service;
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Returns a reservation, or undefined if none is granted in time. */
  async acquire(req: ReservationRequest): Promise<Reservation | undefined> {
    const { priority, tokens, hasCustomers, resumed } = req;
    const { shares, reserve, retries } = this.#scheduling;
    if (!resumed) retries.recordArrival();
    if (hasCustomers && !resumed) {
      reserve.observe({ priority, tokens, holdMs: shares.holdMs });
    }
    const reservation = await this.#acquire(req);
    if (hasCustomers && !reservation && !req.signal.aborted) {
      shares.refuse(req.customer);
    }
    return reservation;
  }

  get #scheduling(): ServiceScheduling {
    return this.#ctx.schedulingOf(this.#service.name);
  }

  async #acquire(req: ReservationRequest): Promise<Reservation | undefined> {
    if (this.#waiting.size === 0) {
      const reservation = await this.#reserve(req);
      if (reservation || req.signal.aborted) return reservation;
    }
    if (this.#isHopeless(req)) return undefined;
    return await this.#wait(req);
  }

  /** Whether no engine can be used in time, however the memory changes. */
  #isHopeless(req: ReservationRequest): boolean {
    const leftMs = req.expiresAtMs - this.#ctx.clock.now();
    const engines = this.#enginesFor(req);
    return leftMs <= 0 || engines.length === 0 ||
      shortestLimitWaitMs(this.#ctx, engines) > leftMs;
  }

  #enginesFor(req: ReservationRequest): readonly Backend[] {
    const { directory } = this.#ctx;
    return req.select(
      directory.readyAt(this.#service.name, EngineStage.Decode),
    );
  }

  #wait(req: ReservationRequest): Promise<Reservation | undefined> {
    return new Promise((resolve) => {
      const waiting: WaitingRequest = {
        ...req,
        settle: (reservation) => {
          this.#waiting.delete(waiting);
          req.signal.removeEventListener("abort", onAbort);
          resolve(reservation);
        },
      };
      const onAbort = () => waiting.settle(undefined);
      req.signal.addEventListener("abort", onAbort, { once: true });
      this.#waiting.add(waiting);
      this.#refuseUnreachable();
      if (!this.#processing) void this.#processWaiting();
    });
  }

  /** Ends the waits that are expected to be in vain. */
  #refuseUnreachable(): void {
    const { clock, policy } = this.#ctx;
    if (!policy.overloadControl) return;
    const nowMs = clock.now();
    const { placements, shares } = this.#scheduling;
    const unreachable = unreachablePendings(
      this.#waiting,
      nowMs,
      placements.rate(nowMs),
      shares,
    );
    for (const waiting of unreachable) waiting.settle(undefined);
  }

  async #processWaiting(): Promise<void> {
    this.#processing = true;
    while (this.#waiting.size > 0) {
      this.#expire();
      if (!await this.#placeNext()) await sleep(RETRY_PAUSE_MS);
    }
    this.#processing = false;
  }

  /** Places the first waiting request that an engine has memory for. */
  async #placeNext(): Promise<boolean> {
    const nowMs = this.#ctx.clock.now();
    const { shares } = this.#scheduling;
    for (const next of nextPendings(this.#waiting, nowMs, shares)) {
      const reservation = await this.#reserve(next);
      if (!reservation) continue;
      if (this.#waiting.has(next)) next.settle(reservation);
      else this.cancel(reservation);
      return true;
    }
    return false;
  }

  #expire(): void {
    const nowMs = this.#ctx.clock.now();
    for (const waiting of [...this.#waiting]) {
      if (waiting.expiresAtMs <= nowMs) waiting.settle(undefined);
    }
  }

  /** Tries the engines one after another; the first that grants is used. */
  async #reserve(req: ReservationRequest): Promise<Reservation | undefined> {
    const ctx = this.#ctx;
    const capacity = this.#service.engine;
    if (!capacity) return undefined;
    const engines = this.#enginesFor(req);
    checkRateLimits(ctx, engines);
    const inputs = { ...ctx, nowMs: ctx.clock.now() };
    const withheldAt = this.#withheldFrom(req, capacity);
    const ordered = orderDecodeEngines(
      engines,
      req.tokens,
      capacity.kvTokens,
      inputs,
      withheldAt,
    );
    const candidates = ordered
      .filter((engine) => !req.excluded.has(incarnationOf(engine)))
      .slice(0, ctx.policy.maxReservationAttempts);
    for (const engine of candidates) {
      if (req.signal.aborted) return undefined;
      // The engines before it may have taken their time to respond.
      if (!ctx.directory.isReady(engine)) continue;
      const reservation = await this.#reserveWithinLimit(
        engine,
        { ...req, withheldTokens: withheldAt(engine) },
        capacity.maxHoldMs,
      );
      if (!reservation) continue;
      this.#scheduling.placements.add(ctx.clock.now());
      return this.#charge(reservation, req);
    }
    return undefined;
  }

  /** Charges the customer until the reservation is released. */
  #charge(reservation: Reservation, req: ReservationRequest): Reservation {
    if (!req.hasCustomers) return reservation;
    const charge = this.#scheduling.shares.place(req.customer, req.tokens);
    return {
      ...reservation,
      release: () => {
        reservation.release();
        charge.settle();
      },
    };
  }

  /** Memory of each engine that the request leaves to more urgent ones. */
  #withheldFrom(
    { hasCustomers, resumed, priority }: ReservationRequest,
    { kvTokens }: EngineCapacity,
  ): (engine: Backend) => number {
    if (!hasCustomers || resumed) return () => 0;
    const engines = this.#ctx.directory.readyAt(
      this.#service.name,
      EngineStage.Decode,
    );
    const plan = this.#scheduling.reserve.plan(priority, { engines, kvTokens });
    this.#recordReserve(priority, plan);
    return plan.tokensAt;
  }

  /** Records what the least urgent requests leave to all others. */
  #recordReserve(priority: number, plan: ReservePlan): void {
    if (priority < this.#leastUrgent) return;
    this.#leastUrgent = priority;
    const { clock, log, metrics } = this.#ctx;
    const service = this.#service.name;
    const withheldTokens = plan.engineCount * plan.tokens;
    metrics.urgentReserve.set({ service }, withheldTokens);
    const nowMs = clock.now();
    if (nowMs - this.#reserveLoggedMs < RESERVE_LOG_INTERVAL_MS) return;
    if (plan.engineCount === this.#reservedEngines) return;
    log("urgent_reserve", {
      service,
      priority,
      engines: plan.engineCount,
      before: this.#reservedEngines,
      tokens: plan.tokens,
    });
    this.#reserveLoggedMs = nowMs;
    this.#reservedEngines = plan.engineCount;
  }

  /**
   * Reserves memory and counts the request against the engine's rate limit. The
   * engine may name a limit only in its response.
   */
  async #reserveWithinLimit(
    engine: Backend,
    req: EngineRequest,
    maxHoldMs: number,
  ): Promise<Reservation | undefined> {
    const { directory, rateLimits } = this.#ctx;
    const key = incarnationOf(engine);
    if (!rateLimits.allows(key)) return undefined;
    const reservation = await this.#reserveAt(engine, req, maxHoldMs);
    if (!reservation) return undefined;
    if (directory.isReady(engine) && rateLimits.tryAcquire(key)) {
      return reservation;
    }
    this.#drop(reservation);
    return undefined;
  }

  async #reserveAt(
    engine: Backend,
    req: EngineRequest,
    maxHoldMs: number,
  ): Promise<Reservation | undefined> {
    const ctx = this.#ctx;
    const key = incarnationOf(engine);
    const release = ctx.engineLoads.place(key, req.tokens);
    const grantedAtMs = ctx.clock.now();
    const reservation = { engine, tokens: req.tokens, grantedAtMs, release };
    if (maxHoldMs <= 0) return reservation;
    const ttlMs = Math.min(HOLD_TTL_MS, maxHoldMs);
    const result = await ctx.engines.createHold(
      engine,
      req.tokens,
      ttlMs,
      req.signal,
    );
    ctx.metrics.holds.inc({ result: result.end });
    if (result.end === HoldEnd.Granted) {
      return await this.#confirm(
        { ...reservation, holdId: result.holdId },
        req,
      );
    }
    release();
    // Given up because the caller has left.
    if (req.signal.aborted) return undefined;
    if (result.end === HoldEnd.NoCapacity) {
      ctx.engineLoads.refused(key, req.tokens);
      ctx.pace.record(engine, CallOutcome.NotExecuted, 0);
    } else if (result.end === HoldEnd.Silent) recordSilent(ctx, engine);
    else this.#recordUnreachable(engine, result.message ?? "");
    return undefined;
  }

  /** Keeps a granted reservation only if the engine also has the margin free. */
  async #confirm(
    reservation: Reservation,
    req: EngineRequest,
  ): Promise<Reservation | undefined> {
    const { engineLoads } = this.#ctx;
    const key = incarnationOf(reservation.engine);
    const hasMargin = await this.#hasMargin(reservation.engine, req);
    // An engine that lacks what is withheld may have room for urgent requests.
    const tokens = req.tokens + req.withheldTokens;
    if (hasMargin) engineLoads.accepted(key, tokens);
    else engineLoads.refused(key, tokens);
    if (hasMargin && !req.signal.aborted) return reservation;
    this.#drop(reservation);
    return undefined;
  }

  /**
   * Checks that the engine has enough free memory for the growth of its
   * generations until one of them ends. Engines reveal free memory only by
   * granting a reservation, so a probe reservation is made that expires almost
   * immediately.
   */
  async #hasMargin(engine: Backend, req: EngineRequest): Promise<boolean> {
    const { engines, metrics } = this.#ctx;
    const marginTokens = req.marginTokens + req.withheldTokens;
    if (marginTokens === 0) return true;
    const result = await engines.createHold(
      engine,
      marginTokens,
      MARGIN_HOLD_TTL_MS,
      req.signal,
    );
    if (result.end !== HoldEnd.NoCapacity) return true;
    const withheld = req.withheldTokens > 0;
    metrics.holds.inc({ result: withheld ? "no_reserve" : "no_margin" });
    return false;
  }

  #recordUnreachable(engine: Backend, message: string): void {
    const ctx = this.#ctx;
    ctx.log("hold_failed", { backend: engine.id, message });
    ejectBackend(ctx, engine);
    ctx.upstream.retire(engine);
  }

  /** Cancels an unused reservation. */
  cancel(reservation: Reservation): void {
    this.#ctx.rateLimits.refund(incarnationOf(reservation.engine));
    this.#drop(reservation);
  }

  #drop(reservation: Reservation): void {
    reservation.release();
    if (reservation.holdId) {
      this.#ctx.engines.deleteHold(reservation.engine, reservation.holdId);
    }
  }
}
