/**
 * Ends a stream towards its caller. A request that did not run is rejected with
 * a suggested retry delay; one that may have run fails.
 */
import { EngineStage } from "../backends/backend.ts";
import { StreamEnd, type StreamResult } from "./stream_call.ts";
import type { StreamProgress } from "./generation.ts";
import { fail, reject } from "./reject.ts";
import { impliesNotExecuted } from "./reply_verdict.ts";
import {
  type CallerRequest,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";

/** Average retry delay suggested to a rejected caller, in milliseconds. */
export const EXPECTED_BUSY_MS = 3_200;
/** The same when there is no decode engine at all, in milliseconds. */
const NO_ENGINE_BUSY_MS = 1_000;

/** Counts the calls made for one stream and ends the response to the caller. */
export class StreamOutcomes {
  /** Calls to backend servers that may have run the request. */
  attempts = 0;
  /** Calls to backend servers, including those that rejected the request. */
  sends = 0;
  /** The last backend server that the request was sent to. */
  lastBackendId: string | undefined;
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

  /** Ends a complete stream. */
  answered(): RunOutcome {
    const { responder } = this.#req;
    // A stream without events is still a complete response.
    if (!responder.started) responder.startStream(200, []);
    responder.endStream();
    return this.#outcome(RunEnd.Answered, RunReason.None, 200);
  }

  /** Forwards the error that the backend server responded with. */
  backendError(result: StreamResult): RunOutcome {
    const { responder } = this.#req;
    if (responder.started || impliesNotExecuted(result.status)) {
      return this.failed(result);
    }
    const headers = this.#ctx.codec.buildCallerHeaders(result.headers);
    responder.reply(result.status, headers, result.body);
    return this.#outcome(RunEnd.BackendError, RunReason.None, result.status);
  }

  /** Fails a stream that ended early and can't continue elsewhere. */
  failed(result: StreamResult): RunOutcome {
    const reason = result.end === StreamEnd.Cut
      ? RunReason.StreamCut
      : RunReason.NoResponse;
    const { events } = this.#progress;
    return { ...this.#fail(reason), events };
  }

  /** Ends a request that isn't sent again: rejected if it did not run, else failed. */
  stopped(reason: RunReason): RunOutcome {
    if (this.attempts > 0) return this.#fail(RunReason.StreamCut);
    return reject(this.#ctx, this.#req, reason, EXPECTED_BUSY_MS, this.sends);
  }

  /** Ends a request for which no decode engine has capacity, or none exists. */
  noCapacity(): RunOutcome {
    const engines = this.#ctx.directory.readyAt(
      this.#req.service.name,
      EngineStage.Decode,
    );
    if (engines.length === 0 && this.attempts === 0) {
      const reason = RunReason.NoBackend;
      return reject(this.#ctx, this.#req, reason, NO_ENGINE_BUSY_MS);
    }
    return this.stopped(RunReason.NoCapacity);
  }

  /** Ends a request whose caller has disconnected or whose deadline has passed. */
  aborted(): RunOutcome {
    if (this.#req.signal.aborted) {
      return this.#outcome(RunEnd.CallerLeft, RunReason.None, 0);
    }
    if (this.attempts > 0) return this.#fail(RunReason.TimedOut);
    return reject(this.#ctx, this.#req, RunReason.TooLate, EXPECTED_BUSY_MS);
  }

  #fail(reason: RunReason): RunOutcome {
    return fail(
      this.#ctx,
      this.#req,
      reason,
      this.attempts,
      this.lastBackendId,
    );
  }

  #outcome(end: RunEnd, reason: RunReason, status: number): RunOutcome {
    const { firstEventAtMs, events, longestGapMs } = this.#progress;
    return {
      end,
      reason,
      status,
      attempts: this.attempts,
      backendId: this.lastBackendId,
      events,
      longestGapMs,
      firstByteMs: firstEventAtMs === undefined
        ? undefined
        : firstEventAtMs - this.#req.arrivedMs,
    };
  }
}
