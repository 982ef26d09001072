/**
 * Plain calls by request id. A call is sent to the plain service at most once
 * during the lifetime of this sidecar, however many attempts it has; its answer
 * is kept for callers that attach later. Refusing a call first adds a
 * tombstone, so that the reply `NotRun` stays correct if a duplicate of the
 * call arrives later.
 */
import {
  type EnginePlainResult,
  EngineStatus,
  type PlainBackend,
} from "@sassafrascleat/engine";
import {
  type PlainAnswer,
  type PlainAttachRequest,
  type PlainCallReply,
  type PlainCallRequest,
  PlainCallState,
  RefusalReason,
  UnknownReason,
} from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  errorMessage,
} from "@sassafrascleat/runtime";
import {
  attemptId,
  type AttemptLedger,
  type AttemptRecord,
  AttemptState,
  isOpen,
} from "./attempt_ledger.ts";
import type { CapacityLedger } from "./capacity.ts";
import { ReservationState } from "./reservation.ts";
import { settleWithin } from "./settle_within.ts";

const log = createLogger("sidecar:plain");

/** Options of `PlainCalls`. */
export interface PlainCallsOptions {
  incarnation: string;
  backend: PlainBackend;
  attempts: AttemptLedger;
  capacity: CapacityLedger;
  clock: Clock;
  /** Limit on the answers that are kept, in bytes. */
  maxRetainedBytes: number;
  /** Called with the duration of each answered call, in milliseconds. */
  onDuration(ms: number): void;
}

/** A call that was sent to the service. */
interface Run {
  /**
   * Final reply. Undefined while the call runs; an unknown state with the
   * reason `AnswerExpired` once the answer was dropped to free memory.
   */
  reply: PlainCallReply | undefined;
  done: Promise<void>;
  bytes: number;
}

/** Runs plain calls at most once. */
export class PlainCalls {
  readonly #opts: PlainCallsOptions;
  readonly #runs = new Map<string, Run>();
  #retainedBytes = 0;

  constructor(opts: PlainCallsOptions) {
    this.#opts = opts;
  }

  /** Whether a call with this request id was ever sent to the service. */
  started(requestId: string): boolean {
    return this.#runs.has(requestId);
  }

  /** Whether the service is running a call with this request id. */
  running(requestId: string): boolean {
    const run = this.#runs.get(requestId);
    return run !== undefined && run.reply === undefined;
  }

  /** Runs a granted call, or waits for the run that the request already has. */
  async call(req: PlainCallRequest): Promise<PlainCallReply> {
    if (req.incarnation !== this.#opts.incarnation) {
      return this.#notRun(RefusalReason.WrongIncarnation);
    }
    const known = this.#runs.get(req.requestId);
    if (known) return await this.#joinRun(req, known);
    const refusal = await this.#awaitReservation(req);
    if (refusal) return this.#notRun(refusal);
    const run = this.#runs.get(req.requestId) ?? this.#start(req);
    return await this.#waitForReply(run, req.timeoutMs);
  }

  /**
   * Returns the outcome of a call that may have been sent. If the call has not
   * started, a tombstone prevents it from starting; without `settle` it counts
   * as running.
   */
  async attach(req: PlainAttachRequest): Promise<PlainCallReply> {
    if (req.incarnation !== this.#opts.incarnation) {
      return this.#unknown(UnknownReason.SidecarRestarted);
    }
    const run = this.#runs.get(req.requestId);
    if (run) return await this.#waitForReply(run, req.waitMs);
    if (req.settle) this.#addTombstone(req, RefusalReason.Tombstoned);
    const refusal = this.#opts.attempts.refusal(req);
    if (refusal && refusal !== RefusalReason.Full) {
      return this.#notRun(refusal);
    }
    return this.#running();
  }

  /** Removes runs past their retention. */
  forget(requestIds: readonly string[]): void {
    for (const id of requestIds) {
      const run = this.#runs.get(id);
      if (run) this.#retainedBytes -= run.bytes;
      this.#runs.delete(id);
    }
  }

  /**
   * Waits for the run of an earlier attempt, and releases the reservation of
   * this one.
   */
  async #joinRun(req: PlainCallRequest, run: Run): Promise<PlainCallReply> {
    const { attempts, capacity, clock } = this.#opts;
    const record = attempts.find(req);
    if (record?.state === AttemptState.Reserved) {
      attempts.finish(record, clock.now());
      capacity.release(attemptId(req));
    }
    return await this.#waitForReply(run, req.timeoutMs);
  }

  /**
   * Waits for the reserved slot. If it returns a refusal, a tombstone was
   * added.
   */
  async #awaitReservation(
    req: PlainCallRequest,
  ): Promise<RefusalReason | undefined> {
    const { attempts, capacity } = this.#opts;
    const record = attempts.find(req);
    const reservation = capacity.find(attemptId(req));
    if (!record || !isOpen(record) || !reservation) return this.#refuse(req);
    const { signal } = record.stop;
    await settleWithin(reservation.ready, req.timeoutMs, signal);
    if (this.#runs.has(req.requestId)) return undefined;
    const held = reservation.state === ReservationState.Held;
    if (held && !signal.aborted) return undefined;
    return this.#refuse(req);
  }

  #refuse(req: PlainCallRequest): RefusalReason {
    this.#addTombstone(req, RefusalReason.GrantExpired);
    return this.#opts.attempts.refusal(req) ?? RefusalReason.GrantExpired;
  }

  #addTombstone(
    ref: PlainCallRequest | PlainAttachRequest,
    reason: RefusalReason,
  ): void {
    this.#opts.attempts.addTombstone(ref, reason, this.#opts.clock.now());
  }

  /** Starts the call; from now on the request counts as started. */
  #start(req: PlainCallRequest): Run {
    const { attempts, capacity } = this.#opts;
    const record = attempts.find(req);
    const reservation = capacity.find(attemptId(req));
    if (record) record.state = AttemptState.Running;
    if (reservation) reservation.state = ReservationState.Running;
    const run: Run = { reply: undefined, done: Promise.resolve(), bytes: 0 };
    this.#runs.set(req.requestId, run);
    run.done = this.#run(req, run, record);
    return run;
  }

  async #run(
    req: PlainCallRequest,
    run: Run,
    record: AttemptRecord | undefined,
  ): Promise<void> {
    const { attempts, capacity, clock, onDuration } = this.#opts;
    const startedAtMs = clock.now();
    const result = await this.#callBackend(req);
    run.reply = this.#toReply(result);
    this.#retainAnswer(run);
    const ms = clock.now() - startedAtMs;
    if (result.status === EngineStatus.Ok) onDuration(ms);
    if (record) attempts.finish(record, clock.now());
    capacity.release(attemptId(req));
    log("call_ended", { request: attemptId(req), state: run.reply.state, ms });
  }

  async #callBackend(req: PlainCallRequest): Promise<EnginePlainResult> {
    const { method, path, headers, bodyBase64, timeoutMs } = req;
    const call = { method, path, headers, bodyBase64, timeoutMs };
    const neverAborted = new AbortController().signal;
    try {
      return await this.#opts.backend.call(
        { id: req.requestId, ...call },
        neverAborted,
      );
    } catch (err) {
      const message = errorMessage(err);
      return { status: EngineStatus.Unreachable, sent: true, message };
    }
  }

  #toReply(result: EnginePlainResult): PlainCallReply {
    if (result.status === EngineStatus.Ok) return this.#answered(result.answer);
    if (!result.sent) return this.#notRun(RefusalReason.EngineDown);
    return this.#unknown(UnknownReason.BackendFailed);
  }

  /**
   * Keeps the answer; drops the oldest answers when they exceed the size limit.
   */
  #retainAnswer(run: Run): void {
    if (run.reply?.state !== PlainCallState.Answered) return;
    run.bytes = run.reply.answer.bodyBase64.length;
    this.#retainedBytes += run.bytes;
    for (const old of this.#runs.values()) {
      if (this.#retainedBytes <= this.#opts.maxRetainedBytes || old === run) {
        return;
      }
      if (old.bytes === 0) continue;
      this.#retainedBytes -= old.bytes;
      old.bytes = 0;
      old.reply = this.#unknown(UnknownReason.AnswerExpired);
    }
  }

  async #waitForReply(run: Run, waitMs: number): Promise<PlainCallReply> {
    await settleWithin(run.done, waitMs);
    return run.reply ?? this.#running();
  }

  #answered(answer: PlainAnswer): PlainCallReply {
    const { incarnation } = this.#opts;
    return { state: PlainCallState.Answered, incarnation, answer };
  }

  #notRun(reason: RefusalReason): PlainCallReply {
    const { incarnation } = this.#opts;
    return { state: PlainCallState.NotRun, incarnation, reason };
  }

  #unknown(reason: UnknownReason): PlainCallReply {
    const { incarnation } = this.#opts;
    return { state: PlainCallState.Unknown, incarnation, reason };
  }

  #running(): PlainCallReply {
    return {
      state: PlainCallState.Running,
      incarnation: this.#opts.incarnation,
    };
  }
}
