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
import type { SidecarState } from "./sidecar_state.ts";
import { type Reservation, ReservationState } from "./reservation.ts";
import { STREAM_RETENTION_MS } from "./constants.ts";
import { DecodeRunner } from "./decode_runner.ts";
import { failedFrame, framesOf, refusedFrame } from "./frames.ts";
import { TokenLog } from "./token_log.ts";
import { TransferLimiter } from "./transfer_limiter.ts";

/** The token streams of one decode sidecar. */
export class TokenStreams {
  readonly #state: SidecarState;
  readonly #runner: DecodeRunner | undefined;
  readonly #logs = new Map<string, TokenLog>();

  constructor(state: SidecarState) {
    this.#state = state;
    this.#runner = state.engineParts && new DecodeRunner({
      engine: state.engineParts.engine,
      canceller: state.engineParts.canceller,
      capacity: state.capacity,
      transferLimiter: new TransferLimiter(state.cfg.maxTransfers),
      clock: state.cfg.clock,
      transferTimeoutMs: state.cfg.transferTimeoutMs,
      evict: (reservation) => this.#evict(reservation),
      onUnreachable: () => state.engineParts?.watch.markUnreachable(),
    });
  }

  /**
   * Starts a granted attempt; a repeated call streams the same run from its
   * beginning.
   */
  start(req: StartRequest, signal: AbortSignal): AsyncIterable<Frame> {
    const refusal = this.#refusal(req);
    if (refusal) return singleFrame(refusedFrame(req, 0, refusal));
    const record = this.#state.attempts.find(req);
    if (!record) {
      return singleFrame(refusedFrame(req, 0, this.#addTombstone(req)));
    }
    record.renewedAtMs = this.#state.cfg.clock.now();
    if (record.state === AttemptState.Reserved) this.#begin(record, req);
    return this.#frames(req, 0, signal);
  }

  /** Continues a stream at an offset. */
  resume(req: ResumeRequest, signal: AbortSignal): AsyncIterable<Frame> {
    if (req.incarnation !== this.#state.incarnation) {
      const reason = RefusalReason.WrongIncarnation;
      return singleFrame(refusedFrame(req, req.offset, reason));
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

  /** Adds a tombstone, so that an attempt without a grant never starts. */
  #addTombstone(ref: AttemptRef): RefusalReason {
    const now = this.#state.cfg.clock.now();
    this.#state.attempts.addTombstone(ref, RefusalReason.GrantExpired, now);
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
    const result = !end || end.complete ? "whole" : end.failure;
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
      return singleFrame(failedFrame(ref, offset, StreamFailure.NotFound));
    }
    return framesOf(ref, log, offset, this.#state.cfg.heartbeatMs, signal);
  }

  /** Fails an attempt to free its memory for another one. */
  #evict(reservation: Reservation): void {
    const { attempts, cfg, metrics } = this.#state;
    const record = attempts.find(parseAttemptId(reservation.id));
    reservation.state = ReservationState.Releasing;
    if (!record) return;
    metrics.lapsed.inc({ cause: "memory" });
    this.#logs.get(reservation.id)?.finish({
      complete: false,
      failure: StreamFailure.EngineLost,
    });
    attempts.end(record, RefusalReason.Full, cfg.clock.now());
  }
}

async function* singleFrame(frame: Frame): AsyncGenerator<Frame, void> {
  yield frame;
}
