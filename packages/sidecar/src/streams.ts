/** Starts and resumes token streams of reserved attempts. */
import {
  type AttemptRef,
  type Frame,
  RefusalReason,
  type ResumeRequest,
  type StartRequest,
  StreamFailure,
} from "@sassafrascleat/protocol";
import {
  attemptId,
  type AttemptRecord,
  AttemptState,
  parseAttemptId,
} from "./attempt_ledger.ts";
import type { BackendState } from "./backend_state.ts";
import { type Place, PlaceState } from "./place.ts";
import { STREAM_RETENTION_MS } from "./constants.ts";
import { DecodeRunner } from "./decode_runner.ts";
import { failedFrame, framesOf, refusedFrame } from "./frames.ts";
import { TokenLog } from "./token_log.ts";
import { TransferGate } from "./transfer_gate.ts";

/** The token streams of one decode sidecar. */
export class Streams {
  readonly #state: BackendState;
  readonly #runner: DecodeRunner | undefined;
  readonly #logs = new Map<string, TokenLog>();

  constructor(state: BackendState) {
    this.#state = state;
    this.#runner = state.parts && new DecodeRunner({
      engine: state.parts.engine,
      canceller: state.parts.canceller,
      capacity: state.capacity,
      gate: new TransferGate(state.cfg.maxTransfers),
      clock: state.cfg.clock,
      transferTimeoutMs: state.cfg.transferTimeoutMs,
      evict: (place) => this.#evict(place),
      onUnreachable: () => state.parts?.watch.suspect(),
    });
  }

  /** Starts a granted attempt; a repeat streams it from the beginning. */
  start(req: StartRequest, signal: AbortSignal): AsyncIterable<Frame> {
    const refusal = this.#refusal(req);
    if (refusal) return only(refusedFrame(req, 0, refusal));
    const record = this.#state.attempts.find(req);
    if (!record) return only(refusedFrame(req, 0, this.#bury(req)));
    record.renewedAtMs = this.#state.cfg.clock.now();
    if (record.state === AttemptState.Reserved) this.#begin(record, req);
    return this.#frames(req, 0, signal);
  }

  /** Continues a stream at an offset. */
  resume(req: ResumeRequest, signal: AbortSignal): AsyncIterable<Frame> {
    if (req.incarnation !== this.#state.incarnation) {
      const reason = RefusalReason.WrongIncarnation;
      return only(refusedFrame(req, req.offset, reason));
    }
    const now = this.#state.cfg.clock.now();
    this.#state.attempts.renew(req, req.entryId, now);
    return this.#frames(req, req.offset, signal);
  }

  #refusal(req: StartRequest): RefusalReason | undefined {
    if (req.incarnation !== this.#state.incarnation) {
      return RefusalReason.WrongIncarnation;
    }
    const refusal = this.#state.attempts.refusal(req);
    return refusal === RefusalReason.Full ? undefined : refusal;
  }

  /** Makes sure that an attempt without a grant never starts. */
  #bury(ref: AttemptRef): RefusalReason {
    const now = this.#state.cfg.clock.now();
    this.#state.attempts.bury(ref, RefusalReason.GrantExpired, now);
    return RefusalReason.GrantExpired;
  }

  #begin(record: AttemptRecord, req: StartRequest): void {
    const log = new TokenLog();
    this.#logs.set(attemptId(req), log);
    record.state = AttemptState.Running;
    void this.#run(record, req, log);
  }

  async #run(
    record: AttemptRecord,
    req: StartRequest,
    log: TokenLog,
  ): Promise<void> {
    const { attempts, cfg, metrics } = this.#state;
    await this.#runner?.run(record, req, log);
    attempts.finish(record, cfg.clock.now());
    const { end } = log;
    const result = !end || end.whole ? "whole" : end.failure;
    metrics.attempts.inc({ result });
    const id = attemptId(req);
    setTimeout(() => this.#logs.delete(id), STREAM_RETENTION_MS).unref();
  }

  #frames(
    ref: AttemptRef,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<Frame> {
    const log = this.#logs.get(attemptId(ref));
    if (!log || log.length < offset) {
      return only(failedFrame(ref, offset, StreamFailure.NotFound));
    }
    return framesOf(ref, log, offset, this.#state.cfg.heartbeatMs, signal);
  }

  /** Fails an attempt so that its memory can go to another one. */
  #evict(place: Place): void {
    const { attempts, cfg, metrics } = this.#state;
    const record = attempts.find(parseAttemptId(place.id));
    place.state = PlaceState.Releasing;
    if (!record) return;
    metrics.lapsed.inc({ cause: "memory" });
    this.#logs.get(place.id)?.finish({
      whole: false,
      failure: StreamFailure.EngineLost,
    });
    attempts.end(record, RefusalReason.Full, cfg.clock.now());
  }
}

async function* only(frame: Frame): AsyncGenerator<Frame, void> {
  yield frame;
}
