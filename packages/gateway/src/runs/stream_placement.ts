/**
 * Places a generation: reserves memory at a decode engine first, then prefills
 * the prompt at a prefill engine near it. If the decode engine rejects the
 * request, the prefill result is kept for the next one while it is still valid.
 */
import type { LogFields } from "@sassafrascleat/runtime";
import {
  type Backend,
  EngineStage,
  incarnationOf,
} from "../backends/backend.ts";
import { CallOutcome } from "../decide/backend_health.ts";
import { type MemoryDemand, memoryDemand } from "../decide/memory_demand.ts";
import { PrefillPlace } from "../decide/prefill_plan.ts";
import type { KvSource } from "../http/wire_codec.ts";
import type { StreamVersion } from "../versions/stream_version.ts";
import type { DecodeReservations, Reservation } from "./decode_reservations.ts";
import type { StreamResult } from "./stream_call.ts";
import type { Generation } from "./generation.ts";
import type { PrefillResult } from "./prefill_calls.ts";
import { FIRST_EVENT_MS } from "./prefill_estimate.ts";
import { Prefiller } from "./prefiller.ts";
import { recordOutcome } from "./record_outcome.ts";
import { customerOf, hasCustomers } from "./request_customer.ts";
import {
  ageMs,
  type CallerRequest,
  quarantineMs,
  recordMisdirected,
  type RunContext,
  STATUS_MISDIRECTED,
  tryAcquireRetry,
} from "./run_context.ts";

/** Where a generation runs next, and where its KV-cache memory is. */
export interface Placement {
  reservation: Reservation;
  /** Absent if the decode engine prefills the prompt itself, and after a move. */
  prefill?: PrefillResult;
  source?: KvSource;
}

/** Why a generation was not placed. */
export enum PlacementFailure {
  NoCapacity = "no_room",
  /** The retry budget is used up. */
  NoRetryBudget = "no_allowance",
  /** The caller has disconnected or the deadline has passed. */
  Aborted = "aborted",
  /** The prompt was found to crash engines. */
  Quarantined = "quarantined",
}

/**
 * Longest wait of a resumed stream for memory, in milliseconds. It can use fewer
 * engines than a new one, and its caller bears a gap of some seconds.
 */
const MAX_RESUMED_WAIT_MS = 2_000;
/** Part of the latency target that a new stream may wait for memory. */
const MAX_WAIT_SHARE = 0.4;
/** Share of a prefill result's lifetime in which another engine may use it. */
const REUSABLE_LIFETIME_SHARE = 0.7;

/** Places one generation, and places it again after an engine rejected it. */
export class StreamPlacer {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #reservations: DecodeReservations;
  readonly #generation: Generation;
  readonly #version: StreamVersion;
  readonly #prefiller: Prefiller;
  readonly #excluded = new Set<string>();
  /** A prefill result that the previous decode engine did not use. */
  #unusedPrefill: PrefillResult | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    reservations: DecodeReservations,
    generation: Generation,
    version: StreamVersion,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#reservations = reservations;
    this.#generation = generation;
    this.#version = version;
    this.#prefiller = new Prefiller(ctx, req, generation.prompt);
  }

  /** Reserves memory and prefills the prompt; `isRetry` after the first send. */
  async place(
    isRetry: boolean,
    signal: AbortSignal,
  ): Promise<Placement | PlacementFailure> {
    const startMs = this.#ctx.clock.now();
    const reservation = await this.#reserve(signal);
    if (signal.aborted) {
      return this.#cancel(PlacementFailure.Aborted, reservation);
    }
    this.#ctx.metrics.reservationWait.observe(
      (this.#ctx.clock.now() - startMs) / 1000,
    );
    if (!reservation) {
      this.#recordNoCapacity();
      return PlacementFailure.NoCapacity;
    }
    if (this.#isQuarantined()) {
      return this.#cancel(PlacementFailure.Quarantined, reservation);
    }
    const [prefill, prepared] = await Promise.all([
      this.#takePrefill(reservation.engine) ??
        this.#prefill(reservation, signal),
      this.#version.prepare(reservation.engine, signal),
    ]);
    if (signal.aborted) {
      return this.#cancel(PlacementFailure.Aborted, reservation, prefill);
    }
    if (this.#isQuarantined()) {
      return this.#cancel(PlacementFailure.Quarantined, reservation, prefill);
    }
    if (!prepared || !this.#stillAccepts(reservation.engine)) {
      this.#reservations.cancel(reservation);
      if (prefill) this.#keepOrDiscard(prefill, true);
      return await this.place(isRetry, signal);
    }
    if (isRetry && !tryAcquireRetry(this.#ctx, this.#req, "decode")) {
      return this.#cancel(PlacementFailure.NoRetryBudget, reservation, prefill);
    }
    return { reservation, prefill, source: prefill?.source };
  }

  /** Whether the engine, which the prompt was prefilled for, may be sent it. */
  #stillAccepts(engine: Backend): boolean {
    const { directory, rateLimits } = this.#ctx;
    return directory.isReady(engine) &&
      !rateLimits.isPaused(incarnationOf(engine));
  }

  /** Takes the unused prefill result, if the engine can use it. */
  #takePrefill(engine: Backend): PrefillResult | undefined {
    const prefill = this.#unusedPrefill;
    this.#unusedPrefill = undefined;
    if (!prefill || prefill.engine.version === engine.version) return prefill;
    prefill.discard();
    return undefined;
  }

  /**
   * Prepares that the stream leaves an engine. Undefined if it can't go on
   * elsewhere, or if the signal aborts.
   */
  async placeElsewhere(
    engine: Backend,
    signal: AbortSignal,
  ): Promise<Placement | undefined> {
    const key = incarnationOf(engine);
    this.#excluded.add(key);
    const placement = await this.place(true, signal);
    if (typeof placement !== "string") {
      if (!signal.aborted) return placement;
      this.release(placement);
    }
    this.#excluded.delete(key);
    return undefined;
  }

  /** Frees what a placement has reserved that no engine was sent to. */
  release({ reservation, prefill }: Placement): void {
    prefill?.discard();
    this.#reservations.cancel(reservation);
    this.#ctx.retryBudgetOf(this.#req.service.name).refund();
  }

  /** Records that the decode engine used the prefill result. */
  recordPrefillUsed(prefill: PrefillResult): void {
    this.#prefiller.recordUsed(prefill);
  }

  /** Records that the engine of a placement rejected the request. */
  recordRejection(
    result: StreamResult,
    { reservation, prefill, source }: Placement,
  ): void {
    const misdirected = result.status === STATUS_MISDIRECTED;
    if (misdirected) {
      const metadata = this.#ctx.codec.parseResponse(
        result.status,
        result.headers,
      );
      recordMisdirected(
        this.#ctx,
        reservation.engine,
        metadata.backendId,
        EngineStage.Prefill,
      );
    }
    const unprocessed = misdirected || result.status === 0;
    if (unprocessed || !source) {
      this.#excluded.add(incarnationOf(reservation.engine));
    }
    if (!unprocessed) this.#recordSuspect(reservation.engine);
    if (prefill) this.#keepOrDiscard(prefill, unprocessed);
    if (reservation.holdId) {
      this.#ctx.engines.deleteHold(reservation.engine, reservation.holdId);
    }
  }

  /** Skips an engine that cut the stream off, unless it is the only one. */
  avoid(engine: Backend): void {
    if (this.decodeEngines().length > 1) {
      this.#excluded.add(incarnationOf(engine));
    }
  }

  /** Decode engines that may run the generation. */
  decodeEngines(): readonly Backend[] {
    const { directory } = this.#ctx;
    return this.#version.select(
      directory.readyAt(this.#req.service.name, EngineStage.Decode),
    );
  }

  /** Frees an unused prefill result. */
  close(): void {
    this.#unusedPrefill?.discard();
  }

  #cancel(
    reason: PlacementFailure,
    reservation?: Reservation,
    prefill?: PrefillResult,
  ): PlacementFailure {
    prefill?.discard();
    if (reservation) this.#reservations.cancel(reservation);
    return reason;
  }

  /** Other routers may have found out about the prompt in the meantime. */
  #isQuarantined(): boolean {
    return quarantineMs(this.#ctx, this.#req) > 0;
  }

  #reserve(signal: AbortSignal): Promise<Reservation | undefined> {
    const { req, ctx } = { req: this.#req, ctx: this.#ctx };
    const timeToFirstEventMs = this.#prefiller.plan().expectedMs +
      FIRST_EVENT_MS;
    const onTimeDeadlineMs = req.arrivedMs + req.route.targetLatencyMs -
      timeToFirstEventMs;
    const resumed = this.#generation.progress.lastEventId !== undefined;
    const expiresAtMs = resumed
      ? ctx.clock.now() + MAX_RESUMED_WAIT_MS
      : Math.min(onTimeDeadlineMs, req.arrivedMs + this.#maxWaitMs());
    const demand = this.#memoryDemand();
    return this.#reservations.acquire({
      requestId: req.metadata.requestId,
      customer: customerOf(req),
      hasCustomers: hasCustomers(req),
      resumed,
      priority: req.priority,
      tokens: demand.reserveTokens,
      // The margin is for the streams that have begun, of which this is one.
      marginTokens: resumed ? 0 : demand.marginTokens,
      onTimeDeadlineMs,
      expiresAtMs,
      signal,
      excluded: this.#excluded,
      select: (engines) => this.#version.select(engines),
    });
  }

  /**
   * Longest wait for memory. Under overload a caller is better off with a late
   * start that is still on time than with a retry after seconds.
   */
  #maxWaitMs(): number {
    const { maxReservationWaitMs, overloadControl } = this.#ctx.policy;
    if (!overloadControl) return maxReservationWaitMs;
    const { targetLatencyMs } = this.#req.route;
    return Math.max(maxReservationWaitMs, targetLatencyMs * MAX_WAIT_SHARE);
  }

  #memoryDemand(): MemoryDemand {
    const { prompt, capacity, generatedTokens, expectedTokens } =
      this.#generation;
    const estimator = this.#ctx.outputEstimatorOf(this.#req.route.name);
    return memoryDemand({
      promptTokens: prompt.promptTokens,
      expectedOutputTokens: Math.max(generatedTokens, expectedTokens),
      meanOutputTokens: estimator.meanTokens(prompt),
      kvTokens: capacity.kvTokens,
      ...this.#ctx.policy,
    });
  }

  /** Prefills the prompt; undefined if the decode engine has to do it. */
  async #prefill(
    reservation: Reservation,
    signal: AbortSignal,
  ): Promise<PrefillResult | undefined> {
    const plan = this.#prefiller.plan(reservation.engine);
    if (plan.place === PrefillPlace.Decode) {
      this.#ctx.log("decode_reads", {
        req: this.#req.metadata.requestId,
        expected_ms: Math.round(plan.expectedMs),
      });
      return undefined;
    }
    const { progress, generatedTokens } = this.#generation;
    return await this.#prefiller.prefill(
      reservation,
      progress.lastEventId,
      generatedTokens,
      signal,
    );
  }

  /**
   * Records a failure of a decode engine that granted memory but rejected the
   * request. Either it is changing its stage, or the prefill engine no longer has
   * the prompt's memory. Both engines get a failure recorded; the one that also
   * fails with other engines is ejected.
   */
  #recordSuspect(engine: Backend): void {
    recordOutcome(this.#ctx, engine, CallOutcome.NoResponse, 0);
  }

  /** Keeps a prefill result for the next decode engine while it is still valid. */
  #keepOrDiscard(prefill: PrefillResult, unprocessed: boolean): void {
    const resultAgeMs = this.#ctx.clock.now() - prefill.completedAtMs;
    const reusable = resultAgeMs <
      this.#generation.capacity.handleTtlMs * REUSABLE_LIFETIME_SHARE;
    if (unprocessed && reusable) {
      this.#unusedPrefill = prefill;
      return;
    }
    prefill.discard();
    if (!unprocessed) this.#prefiller.exclude(prefill.engine);
  }

  #recordNoCapacity(): void {
    const { clock, decodeShortages } = this.#ctx;
    const engines = this.decodeEngines();
    if (engines.length > 0) {
      decodeShortages.set(this.#req.service.name, clock.now());
    }
    this.#ctx.log("no_room", {
      req: this.#req.metadata.requestId,
      ...this.#customerFields(),
      priority: this.#req.priority,
      tokens: this.#memoryDemand().reserveTokens,
      decode_engines: engines.length,
      waiting: this.#reservations.waiting,
      age_ms: Math.round(ageMs(this.#ctx, this.#req)),
      read_ms: Math.round(this.#prefiller.plan().expectedMs),
    });
  }

  /** The customer and its share of served requests, where there are customers. */
  #customerFields(): LogFields {
    const req = this.#req;
    if (!hasCustomers(req)) return {};
    const customer = customerOf(req);
    const { shares } = this.#ctx.schedulingOf(req.service.name);
    const { own, all } = shares.servedShares(customer);
    const round = (share: number) => Number(share.toFixed(2));
    return { customer, served: round(own), served_of_all: round(all) };
  }
}
