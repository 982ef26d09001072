/**
 * Runs one attempt on the engine: waits for its reserved slot, imports the
 * prefill result, copies the engine's stream into the token log and resumes the
 * stream when the connection breaks. The reservation is released only after the
 * engine has ended the request itself or acknowledged a cancel, since until
 * then the request may still use engine memory.
 */
import {
  type Engine,
  type EngineDecodeRequest,
  type EngineDecodeResult,
  type EngineEvent,
  EngineEventKind,
  EngineStatus,
} from "@sassafrascleat/engine";
import { type StartRequest, StreamFailure } from "@sassafrascleat/protocol";
import { type Clock, createLogger, sleep } from "@sassafrascleat/runtime";
import { attemptId, type AttemptRecord } from "./attempt_ledger.ts";
import type { CapacityLedger } from "./capacity.ts";
import { type Reservation, ReservationState } from "./reservation.ts";
import {
  ENGINE_RESUME_DELAY_MS,
  ENGINE_RESUME_TIMEOUT_MS,
} from "./constants.ts";
import type { EngineCanceller } from "./engine_canceller.ts";
import { settleWithin } from "./settle_within.ts";
import type { StreamEnd, TokenLog } from "./token_log.ts";
import type { TransferLimiter } from "./transfer_limiter.ts";

const log = createLogger("sidecar:decode");

/** Options of a `DecodeRunner`. */
export interface DecodeRunnerOptions {
  engine: Engine;
  canceller: EngineCanceller;
  capacity: CapacityLedger;
  transferLimiter: TransferLimiter;
  clock: Clock;
  transferTimeoutMs: number;
  /** Fails the attempt of a reservation to free its memory. */
  evict(reservation: Reservation): void;
  /** Called when the engine can't be reached. */
  onUnreachable(): void;
}

/** Whether the engine may still hold the request. */
enum EngineHold {
  None = "none",
  Possible = "possible",
}

interface RunEnd {
  end: StreamEnd;
  hold: EngineHold;
}

/** Runs attempts on one engine. */
export class DecodeRunner {
  readonly #opts: DecodeRunnerOptions;

  constructor(opts: DecodeRunnerOptions) {
    this.#opts = opts;
  }

  /** Runs the attempt to its end and releases its reservation. */
  async run(
    record: AttemptRecord,
    req: StartRequest,
    tokens: TokenLog,
  ): Promise<void> {
    const id = attemptId(record);
    const { capacity, canceller } = this.#opts;
    const { end, hold } = await this.#runAttempt(record, req, tokens);
    tokens.finish(end);
    log("attempt_ended", {
      request: id,
      tokens: tokens.length,
      outcome: end.complete ? end.finish : end.failure,
    });
    if (hold === EngineHold.Possible) {
      const reservation = capacity.find(id);
      if (reservation) reservation.state = ReservationState.Releasing;
      await canceller.cancel(id);
    }
    capacity.release(id);
  }

  async #runAttempt(
    record: AttemptRecord,
    req: StartRequest,
    tokens: TokenLog,
  ): Promise<RunEnd> {
    const { signal } = record.stop;
    const reservation = this.#opts.capacity.find(attemptId(record));
    if (!reservation) {
      return failedEnd(StreamFailure.EngineLost, EngineHold.None);
    }
    const arrivedAtMs = this.#opts.clock.now();
    if (
      !await this.#waitForReservation(reservation, req.kv.expiresInMs, signal)
    ) {
      return failedEnd(
        signal.aborted ? StreamFailure.Cancelled : StreamFailure.KvExpired,
        EngineHold.None,
      );
    }
    this.#opts.capacity.startDecode(reservation, req.generated.length);
    this.#evictUntilFits();
    const waitedMs = this.#opts.clock.now() - arrivedAtMs;
    const started = await this.#startDecode(record, req, waitedMs);
    if (started.status !== EngineStatus.Ok) {
      this.#reportIfUnreachable(started.status, signal);
      return failedEnd(
        failureForStatus(started.status, signal),
        EngineHold.Possible,
      );
    }
    return await this.#readEvents(record, reservation, tokens, started.events);
  }

  #reportIfUnreachable(status: EngineStatus, signal: AbortSignal): void {
    if (signal.aborted || status !== EngineStatus.Unreachable) return;
    this.#opts.onUnreachable();
  }

  /** Returns false if the prefill result expires first or `signal` aborts. */
  async #waitForReservation(
    reservation: Reservation,
    expiresInMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (reservation.state === ReservationState.Waiting) {
      await settleWithin(reservation.ready, expiresInMs, signal);
    }
    return reservation.state === ReservationState.Held && !signal.aborted;
  }

  async #startDecode(
    record: AttemptRecord,
    req: StartRequest,
    waitedMs: number,
  ): Promise<EngineDecodeResult> {
    const { engine, transferLimiter, transferTimeoutMs } = this.#opts;
    const { signal } = record.stop;
    if (!await transferLimiter.acquire(signal)) {
      return { status: EngineStatus.Refused, message: "cancelled" };
    }
    const expiresInMs = Math.max(0, req.kv.expiresInMs - waitedMs);
    const engineReq: EngineDecodeRequest = {
      id: attemptId(record),
      model: req.model,
      prompt: req.prompt,
      generated: req.generated,
      promptTokens: req.promptTokens,
      maxOutputTokens: req.maxOutputTokens,
      priority: req.priority,
      kv: { ...req.kv, expiresInMs },
      transferTimeoutMs,
    };
    try {
      return await engine.decode(engineReq, signal);
    } finally {
      transferLimiter.release();
    }
  }

  async #readEvents(
    record: AttemptRecord,
    reservation: Reservation,
    tokens: TokenLog,
    first: AsyncIterable<EngineEvent>,
  ): Promise<RunEnd> {
    const { signal } = record.stop;
    let events: AsyncIterable<EngineEvent> | undefined = first;
    while (events) {
      for await (const event of events) {
        const end = this.#applyEvent(event, reservation, tokens);
        if (end) return end;
        if (signal.aborted) break;
      }
      events = await this.#resumeEvents(record, tokens);
    }
    return failedEnd(
      signal.aborted ? StreamFailure.Cancelled : StreamFailure.EngineLost,
      EngineHold.Possible,
    );
  }

  #applyEvent(
    event: EngineEvent,
    reservation: Reservation,
    tokens: TokenLog,
  ): RunEnd | undefined {
    if (event.kind === EngineEventKind.Tokens) {
      const added = tokens.append(event.offset, event.tokens);
      this.#recordTokens(reservation, added);
      return undefined;
    }
    if (event.kind === EngineEventKind.Lost) {
      return failedEnd(StreamFailure.EngineLost, EngineHold.Possible);
    }
    if (event.offset !== tokens.length) {
      return failedEnd(StreamFailure.EngineLost, EngineHold.Possible);
    }
    const end: StreamEnd = { complete: true, finish: event.finish };
    return { end, hold: EngineHold.None };
  }

  /**
   * Allocates memory for new tokens, evicting the least urgent attempts if
   * necessary.
   */
  #recordTokens(reservation: Reservation, added: number): void {
    this.#opts.capacity.recordTokens(reservation, added);
    this.#evictUntilFits();
  }

  #evictUntilFits(): void {
    const { capacity, evict } = this.#opts;
    while (capacity.deficit > 0) {
      const victim = capacity.evictionCandidate();
      if (!victim) return;
      evict(victim);
    }
  }

  /**
   * Resumes a broken engine stream; undefined if the engine refuses or time
   * runs out.
   */
  async #resumeEvents(
    record: AttemptRecord,
    tokens: TokenLog,
  ): Promise<AsyncIterable<EngineEvent> | undefined> {
    const { engine, clock } = this.#opts;
    const { signal } = record.stop;
    const id = attemptId(record);
    const deadlineMs = clock.now() + ENGINE_RESUME_TIMEOUT_MS;
    while (!signal.aborted && clock.now() < deadlineMs) {
      log("engine_resume", { request: id, offset: tokens.length });
      const resumed = await engine.resume(id, tokens.length, signal);
      if (resumed.status === EngineStatus.Ok) return resumed.events;
      if (resumed.status === EngineStatus.Refused) return undefined;
      this.#reportIfUnreachable(resumed.status, signal);
      await sleep(ENGINE_RESUME_DELAY_MS, signal);
    }
    return undefined;
  }
}

function failedEnd(failure: StreamFailure, hold: EngineHold): RunEnd {
  return { end: { complete: false, failure }, hold };
}

function failureForStatus(
  status: EngineStatus,
  signal: AbortSignal,
): StreamFailure {
  if (signal.aborted) return StreamFailure.Cancelled;
  if (status === EngineStatus.Expired) return StreamFailure.KvExpired;
  if (status === EngineStatus.TransferFailed) {
    return StreamFailure.TransferFailed;
  }
  return StreamFailure.EngineLost;
}
