/**
 * Handles one generation: reserves memory at a decode engine, prefills the prompt
 * at a prefill engine, then sends the request to the decode engine, which uses
 * both and streams the response. Until the decode engine receives the request
 * nothing has run, and each step may be retried at another engine. After that
 * only a resumable stream continues at another engine, and only when the previous
 * stream was cut off.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import type { StreamVersion } from "../versions/stream_version.ts";
import type { DecodeReservations, Reservation } from "./decode_reservations.ts";
import { withDeadline } from "./deadline.ts";
import {
  callOutcomeOf,
  runStreamCall,
  StreamEnd,
  type StreamResult,
} from "./stream_call.ts";
import { recordStream } from "./crash_detection.ts";
import { Generation } from "./generation.ts";
import { MAX_STANDSTILL_MS } from "./liveness.ts";
import {
  MovedStreamEnd,
  type MoveOutcome,
  type MoveSignals,
  NOT_MOVED,
  PendingMove,
} from "./pending_move.ts";
import { moveFromDrainingEngine, watchEngine } from "./run_move.ts";
import { runPlainStream } from "./plain_stream.ts";
import { reject } from "./reject.ts";
import {
  ageMs,
  type CallerRequest,
  recordCallResult,
  remainingMs,
  type RunContext,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";
import { MEAN_RETRY_DELAY_MS, StreamFinisher } from "./stream_outcome.ts";
import {
  type Placement,
  PlacementFailure,
  StreamPlacer,
} from "./stream_placement.ts";
import { StreamSilence } from "./stream_silence.ts";
import { openVersion, withVersion } from "./with_version.ts";

/** Maximum number of placements of one request, one after another. */
const MAX_PLACEMENTS = 4;

/** Handles one generation until it has an outcome. */
export function runStream(
  ctx: RunContext,
  req: CallerRequest,
  reservations: DecodeReservations,
): Promise<RunOutcome> {
  const capacity = req.service.engine;
  const prompt = req.metadata.prompt;
  if (!capacity || !prompt) return runPlainStream(ctx, req);
  const expectedTokens = ctx.outputEstimatorOf(req.route.name).predictTokens(
    prompt,
  );
  const { lastEventId } = req.metadata;
  const generation = new Generation(
    prompt,
    capacity,
    expectedTokens,
    lastEventId,
  );
  return new StreamRun(ctx, req, reservations, generation).run();
}

class StreamRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #generation: Generation;
  readonly #version: StreamVersion;
  readonly #placer: StreamPlacer;
  readonly #finisher: StreamFinisher;
  readonly #silence: StreamSilence;
  /** Engines that the request was sent to. */
  readonly #sentTo = new Set<string>();
  /** A move to another engine that is in progress. */
  #pendingMove: PendingMove | undefined;
  /** Where a moved run or a stream that left its engine continues. */
  #continuation: Placement | undefined;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    reservations: DecodeReservations,
    generation: Generation,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#generation = generation;
    this.#version = openVersion(ctx, req);
    this.#placer = new StreamPlacer(
      ctx,
      req,
      reservations,
      generation,
      this.#version,
    );
    this.#silence = new StreamSilence(ctx, req);
    this.#finisher = new StreamFinisher(ctx, req, generation.progress);
  }

  async run(): Promise<RunOutcome> {
    const ctx = this.#ctx;
    const { prompt, capacity } = this.#generation;
    ctx.retryBudgetOf(this.#req.service.name).countRequest();
    if (prompt.promptTokens > capacity.kvTokens) {
      return reject(ctx, this.#req, RunReason.TooLarge, MEAN_RETRY_DELAY_MS);
    }
    const work = (signal: AbortSignal) =>
      withVersion(
        this.#version,
        this.#finisher,
        signal,
        () => this.#tryPlacements(signal),
      );
    try {
      return await withDeadline(ctx, this.#req, work);
    } finally {
      if (this.#continuation) this.#placer.release(this.#continuation);
      this.#placer.close();
    }
  }

  /** Tries one placement after another until the request has an outcome. */
  async #tryPlacements(signal: AbortSignal): Promise<RunOutcome> {
    let placements = 0;
    while (placements < MAX_PLACEMENTS) {
      // A run may be moved as often as its engines are drained.
      if (!this.#continuation) placements += 1;
      const placement = await this.#nextPlacement(signal);
      if (typeof placement === "string") return this.#outcomeOf(placement);
      const result = await this.#streamFrom(placement, signal);
      placement.reservation.release();
      const outcome = await this.#handleEnd(result, placement, signal);
      if (outcome) return outcome;
    }
    return this.#finisher.rejectOrFail(RunReason.NotExecuted);
  }

  async #nextPlacement(
    signal: AbortSignal,
  ): Promise<Placement | PlacementFailure> {
    const continuation = this.#continuation;
    this.#continuation = undefined;
    if (continuation) return continuation;
    return await this.#placer.place(this.#finisher.sends > 0, signal);
  }

  #outcomeOf(reason: PlacementFailure): RunOutcome {
    switch (reason) {
      case PlacementFailure.Aborted:
        return this.#finisher.aborted();
      case PlacementFailure.Quarantined:
        return this.#finisher.quarantined();
      case PlacementFailure.NoCapacity:
        return this.#finisher.noCapacity(this.#placer.decodeEngines());
      case PlacementFailure.NoRetryBudget:
        return this.#finisher.rejectOrFail(RunReason.NotExecuted);
    }
  }

  async #streamFrom(
    { reservation, prefill, source }: Placement,
    signal: AbortSignal,
  ): Promise<StreamResult> {
    const ctx = this.#ctx;
    const req = this.#req;
    this.#finisher.sends += 1;
    this.#finisher.attempts += 1;
    this.#finisher.lastBackendId = reservation.engine.id;
    this.#avoidOldConnections(reservation.engine);
    ctx.log("decode_send", {
      req: req.metadata.requestId,
      backend: reservation.engine.id,
      version: reservation.engine.version,
      prefill: prefill?.engine.id,
      prompt_tokens: this.#generation.prompt.promptTokens,
      reserved_tokens: reservation.tokens,
      age_ms: Math.round(ageMs(ctx, req)),
      hold_age_ms: Math.round(ctx.clock.now() - reservation.grantedAtMs),
      after: this.#generation.progress.lastEventId,
      resumes: req.metadata.resumedRequestId,
      config: req.configVersion,
    });
    const begun = new AbortController();
    const unwatch = watchEngine(ctx, reservation.engine, () => {
      const { engine } = reservation;
      const move = (signals: MoveSignals) =>
        moveFromDrainingEngine(ctx, req, this.#generation, engine, signals);
      this.#pendingMove ??= new PendingMove(move, begun.signal, signal);
    });
    const onFirstEventOrEnd = source ? () => {} : ctx.engineLoads.startPrefill(
      incarnationOf(reservation.engine),
      this.#prefillTokens(),
    );
    this.#version.sent(reservation.engine);
    const result = await runStreamCall(ctx, req, {
      backend: reservation.engine,
      progress: this.#generation.progress,
      signal,
      onFirstEvent: () => {
        begun.abort();
        this.#version.begun(reservation.engine);
      },
      silenceCheckMs: this.#silence.checkAfterMs,
      onFirstEventOrEnd,
      mayLeave: (sinceMs, signal) =>
        this.#mayLeave(reservation.engine, sinceMs, signal),
      directives: {
        remainingMs: remainingMs(ctx, req),
        backendId: reservation.engine.id,
        priority: req.enginePriority,
        customer: req.customerDirective,
        holdId: reservation.holdId,
        kvSource: source,
        lastEventId: this.#generation.progress.lastEventId,
      },
    });
    this.#version.ended();
    unwatch();
    return result;
  }

  /**
   * An engine that writes its refusal once more would refuse the second send of
   * the same request with it, although it runs that one.
   */
  #avoidOldConnections(engine: Backend): void {
    const key = incarnationOf(engine);
    if (this.#sentTo.has(key)) this.#ctx.upstream.retire(engine);
    this.#sentTo.add(key);
  }

  /** Tokens to prefill at an engine that holds none of the generation's memory. */
  #prefillTokens(): number {
    return this.#generation.prompt.promptTokens +
      this.#generation.generatedTokens;
  }

  /**
   * Whether a silent stream leaves its engine. It does so only once everything
   * is in hand that it needs to go on elsewhere.
   */
  async #mayLeave(
    engine: Backend,
    sinceMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!this.#mayResume()) return false;
    if (await this.#silence.isAlive(engine, sinceMs, signal)) return false;
    this.#continuation = await this.#placer.placeElsewhere(engine, signal);
    return this.#continuation !== undefined;
  }

  /** Handles the end of one stream; undefined if another engine should be tried. */
  async #handleEnd(
    ended: StreamResult,
    placement: Placement,
    signal: AbortSignal,
  ): Promise<RunOutcome | undefined> {
    const { ctx, req } = { ctx: this.#ctx, req: this.#req };
    const { reservation, prefill } = placement;
    if (prefill && ended.events > 0) this.#placer.recordPrefillUsed(prefill);
    const move = await this.#endMove(ended, reservation);
    // The stream of a stopped run is closed, as a complete one may be.
    const wasStopped = move.moved !== undefined || move.mayHaveStopped;
    const result = wasStopped ? { ...ended, end: StreamEnd.Cut } : ended;
    if (result.end === StreamEnd.Cut) this.#continuation = move.moved;
    if (result.end === StreamEnd.Complete) {
      this.#recordHealth(result, reservation);
      this.#recordCompletion(reservation);
      await recordStream(ctx, req, reservation.engine, result, signal);
      return this.#finisher.answered();
    }
    if (signal.aborted) {
      // Without a response the engine may not have fetched the prefill result.
      if (result.status === 0) prefill?.discard();
      return this.#finisher.aborted();
    }
    if (move.moved) {
      this.#finisher.attempts -= 1;
      this.#finisher.moved = true;
      return undefined;
    }
    this.#recordHealth(result, reservation);
    this.#logEnd(result, reservation);
    await recordStream(ctx, req, reservation.engine, result, signal);
    if (result.end === StreamEnd.NotExecuted) {
      return this.#handleRejection(result, placement);
    }
    if (result.end === StreamEnd.BackendError) {
      return this.#finisher.backendError(result);
    }
    if (!this.#mayResume()) return this.#finisher.failed(result);
    this.#placer.avoid(reservation.engine);
    return undefined;
  }

  /** Ends the move of a run whose stream has ended, and tells its outcome. */
  async #endMove(
    { end, endedByClose }: StreamResult,
    reservation: Reservation,
  ): Promise<MoveOutcome> {
    const move = this.#pendingMove;
    this.#pendingMove = undefined;
    if (endedByClose) this.#logClose(reservation, move !== undefined);
    if (!move) return NOT_MOVED;
    const maxWaitMs = this.#maxMoveWaitMs();
    if (endedByClose) return await move.wait(MovedStreamEnd.Closed, maxWaitMs);
    if (end === StreamEnd.Cut) {
      return await move.wait(MovedStreamEnd.Cut, maxWaitMs);
    }
    move.cancel();
    return NOT_MOVED;
  }

  /** Only a stream that may begin anew can do without the result of a move. */
  #maxMoveWaitMs(): number {
    return this.#mayResume() ? MAX_STANDSTILL_MS : Infinity;
  }

  #handleRejection(
    result: StreamResult,
    placement: Placement,
  ): RunOutcome | undefined {
    this.#finisher.attempts -= 1;
    this.#placer.recordRejection(result, placement);
    // A moved run can't start again unless its stream is resumable.
    const moved = placement.source !== undefined &&
      placement.prefill === undefined;
    return moved && !this.#req.route.resumable
      ? this.#finisher.failed(result)
      : undefined;
  }

  #mayResume(): boolean {
    return this.#req.route.resumable &&
      this.#finisher.attempts < this.#req.route.maxAttempts;
  }

  #logClose({ engine }: Reservation, moving: boolean): void {
    this.#ctx.log("stream_closed", {
      req: this.#req.metadata.requestId,
      backend: engine.id,
      moving,
      last_id: this.#generation.progress.lastEventId,
      remaining_ms: Math.round(remainingMs(this.#ctx, this.#req)),
    });
  }

  #logEnd(result: StreamResult, reservation: Reservation): void {
    this.#ctx.log("decode_ended", {
      req: this.#req.metadata.requestId,
      backend: reservation.engine.id,
      end: result.end,
      status: result.status,
      events: this.#generation.progress.events,
      message: result.message,
    });
  }

  #recordHealth(result: StreamResult, reservation: Reservation): void {
    const outcome = callOutcomeOf(result);
    if (outcome) recordCallResult(this.#ctx, reservation.engine, outcome, 0);
  }

  /** Records the length and the work of a completed response. */
  #recordCompletion({ grantedAtMs }: Reservation): void {
    const { ctx, req } = { ctx: this.#ctx, req: this.#req };
    const heldMs = ctx.clock.now() - grantedAtMs;
    ctx.schedulingOf(req.service.name).recordEnd(heldMs);
    const { prompt, generatedTokens } = this.#generation;
    if (!req.metadata.lastEventId) {
      ctx.outputEstimatorOf(req.route.name).learn(prompt, generatedTokens);
    }
    const work = ctx.stageWorkOf(req.service.name);
    const { tokensPerMs } = ctx.prefillSpeedOf(req.service.name);
    work.prefillMs += prompt.promptTokens / tokensPerMs;
    work.decodeMs += this.#generation.decodeWorkMs();
  }
}
