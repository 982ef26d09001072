/**
 * How a stream ends for its caller. What has not run is refused, with a
 * time to come back; what may have run is failed.
 */
import { EngineStage } from "../backends/backend.ts";
import { StreamEnd, type StreamResult } from "./stream_call.ts";
import type { StreamProgress } from "./generation.ts";
import { fail, refuse } from "./refuse.ts";
import { promisesNotRun } from "./reply_verdict.ts";
import {
  type CallerRequest,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";

/** Wait that a rejected caller is told, on average, in milliseconds. */
export const BUSY_MS = 3_200;
const NO_ENGINE_BUSY_MS = 1_000;

/** Counts the calls of one stream, and answers its caller. */
export class StreamOutcomes {
  /** Calls to engines that may have run it. */
  attempts = 0;
  /** Calls to engines, also those that turned it down. */
  sends = 0;
  /** The last engine that was asked to run it. */
  lastBackend: string | undefined;
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #progress: StreamProgress;

  constructor(
    ctx: RunContext,
    req: CallerRequest,
    progress: StreamProgress,
  ) {
    this.#ctx = ctx;
    this.#req = req;
    this.#progress = progress;
  }

  /** The stream is whole. */
  answered(): RunOutcome {
    const { responder } = this.#req;
    // A stream without events is still a whole answer.
    if (!responder.started) responder.startStream(200, []);
    responder.endStream();
    return this.#outcome(RunEnd.Answered, RunReason.None, 200);
  }

  /** The engine answered with an error, which is passed on. */
  backendError(result: StreamResult): RunOutcome {
    const { responder } = this.#req;
    if (responder.started || promisesNotRun(result.status)) {
      return this.failed(result);
    }
    const headers = this.#ctx.codec.toCaller(result.headers);
    responder.reply(result.status, headers, result.body);
    return this.#outcome(RunEnd.BackendError, RunReason.None, result.status);
  }

  /** The stream ended early and can't go on elsewhere. */
  failed(result: StreamResult): RunOutcome {
    const reason = result.end === StreamEnd.Cut
      ? RunReason.StreamCut
      : RunReason.NoAnswer;
    const { events } = this.#progress;
    return { ...this.#fail(reason), events };
  }

  /** No engine is tried any more; what was not run is refused. */
  stopped(reason: RunReason): RunOutcome {
    if (this.attempts > 0) return this.#fail(RunReason.StreamCut);
    return refuse(this.#ctx, this.#req, reason, BUSY_MS, this.sends);
  }

  /** Every decode engine is full, or there is none. */
  noRoom(): RunOutcome {
    const decoders = this.#ctx.directory.readyAt(
      this.#req.service.name,
      EngineStage.Decode,
    );
    if (decoders.length === 0 && this.attempts === 0) {
      const reason = RunReason.NoBackend;
      return refuse(this.#ctx, this.#req, reason, NO_ENGINE_BUSY_MS);
    }
    return this.stopped(RunReason.NoRoom);
  }

  /** The caller has left or the time is over. */
  aborted(): RunOutcome {
    if (this.#req.signal.aborted) {
      return this.#outcome(RunEnd.CallerLeft, RunReason.None, 0);
    }
    if (this.attempts > 0) return this.#fail(RunReason.TimedOut);
    return refuse(this.#ctx, this.#req, RunReason.TooLate, BUSY_MS);
  }

  #fail(reason: RunReason): RunOutcome {
    return fail(
      this.#ctx,
      this.#req,
      reason,
      this.attempts,
      this.lastBackend,
    );
  }

  #outcome(end: RunEnd, reason: RunReason, status: number): RunOutcome {
    const { firstEventAtMs, events, longestGapMs } = this.#progress;
    return {
      end,
      reason,
      status,
      attempts: this.attempts,
      backendId: this.lastBackend,
      events,
      longestGapMs,
      firstByteMs: firstEventAtMs === undefined
        ? undefined
        : firstEventAtMs - this.#req.arrivedMs,
    };
  }
}
