/**
 * Runs one attempt on the engine: waits for its place, imports the prefill
 * result, reads the engine's stream into the token log and resumes it when the
 * connection breaks. The engine's memory is given back only when the engine
 * ended the request itself or has answered a cancel.
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
import { type Place, PlaceState } from "./place.ts";
import { ENGINE_RESUME_DELAY_MS, ENGINE_RESUME_MS } from "./constants.ts";
import type { EngineCanceller } from "./engine_canceller.ts";
import { settleWithin } from "./settle_within.ts";
import type { LogEnd, TokenLog } from "./token_log.ts";
import type { TransferGate } from "./transfer_gate.ts";

const log = createLogger("sidecar:decode");

/** What a runner works with. */
export interface DecodeRunnerOptions {
  engine: Engine;
  canceller: EngineCanceller;
  capacity: CapacityLedger;
  gate: TransferGate;
  clock: Clock;
  transferTimeoutMs: number;
  /** Fails the attempt that has to give up memory. */
  evict(place: Place): void;
  /** Called when the engine did not answer. */
  onUnreachable(): void;
}

/** Whether the engine may still hold the request. */
enum EngineHold {
  None = "none",
  Possible = "possible",
}

interface RunEnd {
  end: LogEnd;
  hold: EngineHold;
}

/** Runs attempts on one engine. */
export class DecodeRunner {
  readonly #opts: DecodeRunnerOptions;

  constructor(opts: DecodeRunnerOptions) {
    this.#opts = opts;
  }

  /** Runs the attempt to its end; the place is given back on return. */
  async run(
    record: AttemptRecord,
    req: StartRequest,
    tokens: TokenLog,
  ): Promise<void> {
    const id = attemptId(record);
    const { capacity, canceller } = this.#opts;
    const { end, hold } = await this.#attempt(record, req, tokens);
    tokens.finish(end);
    log("attempt_ended", {
      request: id,
      tokens: tokens.length,
      outcome: end.whole ? end.finish : end.failure,
    });
    if (hold === EngineHold.Possible) {
      const place = capacity.find(id);
      if (place) place.state = PlaceState.Releasing;
      await canceller.cancel(id);
    }
    capacity.release(id);
  }

  async #attempt(
    record: AttemptRecord,
    req: StartRequest,
    tokens: TokenLog,
  ): Promise<RunEnd> {
    const { signal } = record.stop;
    const place = this.#opts.capacity.find(attemptId(record));
    if (!place) return failed(StreamFailure.EngineLost, EngineHold.None);
    const arrivedAtMs = this.#opts.clock.now();
    if (!await this.#waitForPlace(place, req.kv.expiresInMs, signal)) {
      return failed(
        signal.aborted ? StreamFailure.Cancelled : StreamFailure.KvExpired,
        EngineHold.None,
      );
    }
    this.#opts.capacity.begin(place, req.generated.length);
    this.#makeRoom();
    const waitedMs = this.#opts.clock.now() - arrivedAtMs;
    const begun = await this.#begin(record, req, waitedMs);
    if (begun.status !== EngineStatus.Ok) {
      this.#noteFailure(begun.status, signal);
      return failed(failureOf(begun.status, signal), EngineHold.Possible);
    }
    return await this.#follow(record, place, tokens, begun.events);
  }

  #noteFailure(status: EngineStatus, signal: AbortSignal): void {
    if (signal.aborted || status !== EngineStatus.Unreachable) return;
    this.#opts.onUnreachable();
  }

  /** False when the prefill result expires first, or on abort. */
  async #waitForPlace(
    place: Place,
    expiresInMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (place.state === PlaceState.Waiting) {
      await settleWithin(place.ready, expiresInMs, signal);
    }
    return place.state === PlaceState.Held && !signal.aborted;
  }

  async #begin(
    record: AttemptRecord,
    req: StartRequest,
    waitedMs: number,
  ): Promise<EngineDecodeResult> {
    const { engine, gate, transferTimeoutMs } = this.#opts;
    const { signal } = record.stop;
    if (!await gate.enter(signal)) {
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
      gate.leave();
    }
  }

  async #follow(
    record: AttemptRecord,
    place: Place,
    tokens: TokenLog,
    first: AsyncIterable<EngineEvent>,
  ): Promise<RunEnd> {
    const { signal } = record.stop;
    let events: AsyncIterable<EngineEvent> | undefined = first;
    while (events) {
      for await (const event of events) {
        const end = this.#apply(event, place, tokens);
        if (end) return end;
        if (signal.aborted) break;
      }
      events = await this.#resume(record, tokens);
    }
    return failed(
      signal.aborted ? StreamFailure.Cancelled : StreamFailure.EngineLost,
      EngineHold.Possible,
    );
  }

  #apply(
    event: EngineEvent,
    place: Place,
    tokens: TokenLog,
  ): RunEnd | undefined {
    if (event.kind === EngineEventKind.Tokens) {
      const added = tokens.append(event.offset, event.tokens);
      this.#grow(place, added);
      return undefined;
    }
    if (event.kind === EngineEventKind.Lost) {
      return failed(StreamFailure.EngineLost, EngineHold.Possible);
    }
    if (event.offset !== tokens.length) {
      return failed(StreamFailure.EngineLost, EngineHold.Possible);
    }
    const end: LogEnd = { whole: true, finish: event.finish };
    return { end, hold: EngineHold.None };
  }

  /** Takes memory for new tokens, from the least urgent attempts if need be. */
  #grow(place: Place, added: number): void {
    this.#opts.capacity.grow(place, added);
    this.#makeRoom();
  }

  #makeRoom(): void {
    const { capacity, evict } = this.#opts;
    while (capacity.deficit > 0) {
      const victim = capacity.victim();
      if (!victim) return;
      evict(victim);
    }
  }

  /** Continues a broken engine stream; undefined when that took too long. */
  async #resume(
    record: AttemptRecord,
    tokens: TokenLog,
  ): Promise<AsyncIterable<EngineEvent> | undefined> {
    const { engine, clock } = this.#opts;
    const { signal } = record.stop;
    const id = attemptId(record);
    const untilMs = clock.now() + ENGINE_RESUME_MS;
    while (!signal.aborted && clock.now() < untilMs) {
      log("engine_resume", { request: id, offset: tokens.length });
      const resumed = await engine.resume(id, tokens.length, signal);
      if (resumed.status === EngineStatus.Ok) return resumed.events;
      if (resumed.status === EngineStatus.Refused) return undefined;
      this.#noteFailure(resumed.status, signal);
      await sleep(ENGINE_RESUME_DELAY_MS, signal);
    }
    return undefined;
  }
}

function failed(failure: StreamFailure, hold: EngineHold): RunEnd {
  return { end: { whole: false, failure }, hold };
}

function failureOf(
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
