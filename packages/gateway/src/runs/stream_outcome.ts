/**
 * Ends a stream towards its caller. A request that did not run is rejected with
 * a suggested retry delay; one that may have run fails.
 */
import type { Backend } from "../backends/backend.ts";
import { shortestLimitWaitMs } from "./rate_limit_check.ts";
import { StreamEnd, type StreamResult } from "./stream_call.ts";
import type { StreamProgress } from "./generation.ts";
import {
  fail,
  reject,
  rejectDraining,
  rejectNoCapacity,
  rejectQuarantined,
} from "./reject.ts";
import { impliesNotExecuted } from "./reply_verdict.ts";
import {
  type CallerRequest,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";

/** Mean retry delay, before jitter, suggested to a rejected caller, in ms. */
export const MEAN_RETRY_DELAY_MS = 3_200;
/**
 * Mean retry delay, before jitter, suggested when no backend server can run the
 * request, in milliseconds.
 */
const NO_ENGINE_RETRY_DELAY_MS = 1_000;

/** Counts the calls made for one stream and ends the response to the caller. */
export class StreamFinisher {
  /** Calls to backend servers that may have run the request. */
  attempts = 0;
  /** The run was moved: it isn't an attempt of its last backend server. */
  moved = false;
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

  /**
   * Ends a request that isn't sent again. If it did not run, it is rejected with
   * `reason`; if it may have run, it fails as a cut stream and `reason` is unused.
   */
  rejectOrFail(reason: RunReason): RunOutcome {
    if (this.#mayHaveRun) return this.#fail(RunReason.StreamCut);
    return reject(
      this.#ctx,
      this.#req,
      reason,
      MEAN_RETRY_DELAY_MS,
      this.sends,
    );
  }

  /** Ends a request whose prompt would crash the next engine too. */
  quarantined(): RunOutcome {
    if (this.#mayHaveRun) return this.#fail(RunReason.Quarantined);
    return rejectQuarantined(this.#ctx, this.#req, this.sends);
  }

  /** Ends a request whose stream began at a version that is not known. */
  versionUnknown(): RunOutcome {
    const reason = RunReason.VersionUnknown;
    return reject(this.#ctx, this.#req, reason, NO_ENGINE_RETRY_DELAY_MS);
  }

  /** Ends a request that none of the ready backend servers can run. */
  noBackend(): RunOutcome {
    if (this.#mayHaveRun) return this.#fail(RunReason.StreamCut);
    const ready = this.#ctx.directory.ready(this.#req.service.name);
    const reason = ready.length > 0
      ? RunReason.VersionAbsent
      : RunReason.NoBackend;
    return reject(
      this.#ctx,
      this.#req,
      reason,
      NO_ENGINE_RETRY_DELAY_MS,
      this.sends,
    );
  }

  /** Ends a request for which none of the engines has capacity. */
  noCapacity(engines: readonly Backend[]): RunOutcome {
    if (engines.length === 0) return this.noBackend();
    const limited = shortestLimitWaitMs(this.#ctx, engines) > 0;
    if (limited || this.#mayHaveRun) {
      return this.rejectOrFail(RunReason.RateLimited);
    }
    return rejectNoCapacity(
      this.#ctx,
      this.#req,
      MEAN_RETRY_DELAY_MS,
      this.sends,
    );
  }

  /**
   * Ends a request whose caller has disconnected, whose deadline has passed or
   * that must end because the process is about to exit.
   */
  aborted(): RunOutcome {
    if (this.#req.signal.aborted) {
      const reason = this.#progress.slowReader
        ? RunReason.SlowReader
        : RunReason.None;
      return this.#outcome(RunEnd.CallerLeft, reason, 0);
    }
    if (this.#ctx.exitSignal.aborted) return this.#endAtExit();
    if (this.#mayHaveRun) return this.#fail(RunReason.TimedOut);
    return reject(this.#ctx, this.#req, RunReason.TooLate, MEAN_RETRY_DELAY_MS);
  }

  get #mayHaveRun(): boolean {
    return this.attempts > 0 || this.moved || this.#req.responder.started;
  }

  #endAtExit(): RunOutcome {
    if (this.#mayHaveRun) return this.#fail(RunReason.Draining);
    return rejectDraining(this.#ctx, this.#req, this.sends);
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
