/**
 * Plain calls by request id. A call is handed to the plain service at most
 * once in the life of this sidecar, whatever its attempts; its answer is kept
 * for those who attach later. A refused call leaves a tombstone first, so that
 * `NotRun` stays true when a copy of the call arrives late.
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
import { PlaceState } from "./place.ts";
import { settleWithin } from "./settle_within.ts";

const log = createLogger("sidecar:plain");

/** What plain calls work with. */
export interface PlainCallsOptions {
  incarnation: string;
  backend: PlainBackend;
  attempts: AttemptLedger;
  capacity: CapacityLedger;
  clock: Clock;
  /** Bytes of answers that are kept. */
  answerBytes: number;
  /** Called with the duration of each call that was answered. */
  onDuration(ms: number): void;
}

/** One call that was handed to the service. */
interface Run {
  /** The end of the run; undefined once the answer was dropped for room. */
  reply: PlainCallReply | undefined;
  done: Promise<void>;
  bytes: number;
}

/** Runs plain calls at most once. */
export class PlainCalls {
  readonly #opts: PlainCallsOptions;
  readonly #runs = new Map<string, Run>();
  #bytes = 0;

  constructor(opts: PlainCallsOptions) {
    this.#opts = opts;
  }

  /** Whether the service was ever handed a call under this request id. */
  started(requestId: string): boolean {
    return this.#runs.has(requestId);
  }

  /** Whether a call under this request id is with the service now. */
  running(requestId: string): boolean {
    const run = this.#runs.get(requestId);
    return run !== undefined && run.reply === undefined;
  }

  /** Runs a granted call, or waits for the run that there is. */
  async call(req: PlainCallRequest): Promise<PlainCallReply> {
    if (req.incarnation !== this.#opts.incarnation) {
      return this.#notRun(RefusalReason.WrongIncarnation);
    }
    const known = this.#runs.get(req.requestId);
    if (known) return await this.#join(req, known);
    const refusal = await this.#claim(req);
    if (refusal) return this.#notRun(refusal);
    const run = this.#runs.get(req.requestId) ?? this.#start(req);
    return await this.#wait(run, req.timeoutMs);
  }

  /**
   * Tells what became of a call that may have been sent. A call that has not
   * started is settled by a tombstone, or counts as running if `settle` is off.
   */
  async attach(req: PlainAttachRequest): Promise<PlainCallReply> {
    if (req.incarnation !== this.#opts.incarnation) {
      return this.#unknown(UnknownReason.SidecarRestarted);
    }
    const run = this.#runs.get(req.requestId);
    if (run) return await this.#wait(run, req.waitMs);
    if (req.settle) this.#bury(req, RefusalReason.Tombstoned);
    const refusal = this.#opts.attempts.refusal(req);
    if (refusal && refusal !== RefusalReason.Full) {
      return this.#notRun(refusal);
    }
    return this.#running();
  }

  /** Forgets runs whose retention is over. */
  forget(requestIds: readonly string[]): void {
    for (const id of requestIds) {
      const run = this.#runs.get(id);
      if (run) this.#bytes -= run.bytes;
      this.#runs.delete(id);
    }
  }

  /** Waits for an earlier attempt's run, and gives this one's place back. */
  async #join(req: PlainCallRequest, run: Run): Promise<PlainCallReply> {
    const { attempts, capacity, clock } = this.#opts;
    const record = attempts.find(req);
    if (record?.state === AttemptState.Reserved) {
      attempts.finish(record, clock.now());
      capacity.release(attemptId(req));
    }
    return await this.#wait(run, req.timeoutMs);
  }

  /** Waits for the place; a refusal has left its tombstone. */
  async #claim(req: PlainCallRequest): Promise<RefusalReason | undefined> {
    const { attempts, capacity } = this.#opts;
    const record = attempts.find(req);
    const place = capacity.find(attemptId(req));
    if (!record || !isOpen(record) || !place) return this.#refuse(req);
    const { signal } = record.stop;
    await settleWithin(place.ready, req.timeoutMs, signal);
    if (this.#runs.has(req.requestId)) return undefined;
    const held = place.state === PlaceState.Held;
    if (held && !signal.aborted) return undefined;
    return this.#refuse(req);
  }

  #refuse(req: PlainCallRequest): RefusalReason {
    this.#bury(req, RefusalReason.GrantExpired);
    return this.#opts.attempts.refusal(req) ?? RefusalReason.GrantExpired;
  }

  #bury(ref: PlainCallRequest | PlainAttachRequest, why: RefusalReason): void {
    this.#opts.attempts.bury(ref, why, this.#opts.clock.now());
  }

  /** From here on the call counts as run. */
  #start(req: PlainCallRequest): Run {
    const { attempts, capacity } = this.#opts;
    const record = attempts.find(req);
    const place = capacity.find(attemptId(req));
    if (record) record.state = AttemptState.Running;
    if (place) place.state = PlaceState.Running;
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
    run.reply = this.#replyOf(result);
    this.#keep(run);
    const ms = clock.now() - startedAtMs;
    if (result.status === EngineStatus.Ok) onDuration(ms);
    if (record) attempts.finish(record, clock.now());
    capacity.release(attemptId(req));
    log("call_ended", { request: attemptId(req), state: run.reply.state, ms });
  }

  async #callBackend(req: PlainCallRequest): Promise<EnginePlainResult> {
    const { method, path, headers, bodyBase64, timeoutMs } = req;
    const call = { method, path, headers, bodyBase64, timeoutMs };
    const forever = new AbortController().signal;
    try {
      return await this.#opts.backend.call(
        { id: req.requestId, ...call },
        forever,
      );
    } catch (err) {
      const message = errorMessage(err);
      return { status: EngineStatus.Unreachable, sent: true, message };
    }
  }

  #replyOf(result: EnginePlainResult): PlainCallReply {
    if (result.status === EngineStatus.Ok) return this.#answered(result.answer);
    if (!result.sent) return this.#notRun(RefusalReason.EngineDown);
    return this.#unknown(UnknownReason.BackendFailed);
  }

  /** Keeps the answer; drops the oldest ones when they take too much room. */
  #keep(run: Run): void {
    if (run.reply?.state !== PlainCallState.Answered) return;
    run.bytes = run.reply.answer.bodyBase64.length;
    this.#bytes += run.bytes;
    for (const old of this.#runs.values()) {
      if (this.#bytes <= this.#opts.answerBytes || old === run) return;
      if (old.bytes === 0) continue;
      this.#bytes -= old.bytes;
      old.bytes = 0;
      old.reply = this.#unknown(UnknownReason.AnswerExpired);
    }
  }

  async #wait(run: Run, waitMs: number): Promise<PlainCallReply> {
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
