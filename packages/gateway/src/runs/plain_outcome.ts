/**
 * Ends a plain request towards its caller: with the response of a backend
 * server, or with an error that says whether the request may have run.
 */
import { ExchangeOutcome, type ExchangeResponse } from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
import type { PlainCallResult } from "./plain_call.ts";
import { MIN_REMAINING_MS, type PlainSends } from "./plain_sends.ts";
import { shortestLimitWaitMs } from "./rate_limit_check.ts";
import { fail, reject, rejectDraining } from "./reject.ts";
import { ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  remainingMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";

/**
 * Mean retry delay, before jitter, suggested when no backend server is available
 * or none ran the request, in milliseconds.
 */
const MEAN_RETRY_DELAY_MS = 250;

/** Collects what the sends have led to and ends the response to the caller. */
export class PlainFinisher {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #sends: PlainSends;
  /** The last error that a backend server has responded with. */
  #error: ExchangeResponse | undefined;
  /** A response to another request, or with a modified body, was received. */
  #gotInvalidResponse = false;

  constructor(ctx: RunContext, req: CallerRequest, sends: PlainSends) {
    this.#ctx = ctx;
    this.#req = req;
    this.#sends = sends;
  }

  /** Notes a result that is no success. */
  recordFailure({ exchange, verdict }: PlainCallResult): void {
    if (exchange.end === ExchangeOutcome.Failed) {
      this.#gotInvalidResponse ||=
        exchange.failure === CallFailure.InvalidResponse;
    } else if (verdict === ReplyVerdict.Error) this.#error = exchange;
  }

  /** Forwards a success. */
  answered(
    { backend }: PlainCallResult,
    response: ExchangeResponse,
  ): RunOutcome {
    this.#forward(response);
    return {
      ...this.#outcome(RunEnd.Answered, response.status),
      backendId: backend.id,
      firstByteMs: ageMs(this.#ctx, this.#req),
    };
  }

  /** Ends a request that could not be sent to any backend server. */
  rejectUnsent(): RunOutcome {
    const ctx = this.#ctx;
    const backends = ctx.directory.ready(this.#req.service.name);
    const limitWaitMs = shortestLimitWaitMs(ctx, backends);
    const reason = limitWaitMs > 0
      ? RunReason.RateLimited
      : RunReason.NoBackend;
    const delayMs = Math.max(MEAN_RETRY_DELAY_MS, limitWaitMs);
    return reject(ctx, this.#req, reason, delayMs);
  }

  /** Ends a request whose sends have all failed. */
  failed(): RunOutcome {
    const ctx = this.#ctx;
    const req = this.#req;
    const { possibleExecutions, lastBackendId } = this.#sends;
    if (req.signal.aborted) return this.callerGone();
    if (this.#error) {
      this.#forward(this.#error);
      return this.#outcome(RunEnd.BackendError, this.#error.status);
    }
    if (possibleExecutions === 0) return this.#rejectUnexecuted();
    const reason = this.#failureReason();
    return fail(ctx, req, reason, possibleExecutions, lastBackendId);
  }

  /** Ends a request whose caller has disconnected. */
  callerGone(): RunOutcome {
    return this.#outcome(RunEnd.CallerLeft, 0);
  }

  #rejectUnexecuted(): RunOutcome {
    const ctx = this.#ctx;
    const req = this.#req;
    const { total } = this.#sends;
    if (ctx.exitSignal.aborted) return rejectDraining(ctx, req, total);
    return reject(ctx, req, RunReason.NotExecuted, MEAN_RETRY_DELAY_MS, total);
  }

  #failureReason(): RunReason {
    if (this.#ctx.exitSignal.aborted) return RunReason.Draining;
    if (remainingMs(this.#ctx, this.#req) < MIN_REMAINING_MS) {
      return RunReason.TimedOut;
    }
    return this.#gotInvalidResponse
      ? RunReason.InvalidResponse
      : RunReason.NoResponse;
  }

  #forward({ status, headers, body }: ExchangeResponse): void {
    const callerHeaders = this.#ctx.codec.buildCallerHeaders(headers);
    this.#req.responder.reply(status, callerHeaders, body);
  }

  #outcome(end: RunEnd, status: number): RunOutcome {
    return {
      end,
      reason: RunReason.None,
      status,
      attempts: this.#sends.possibleExecutions,
      backendId: this.#sends.lastBackendId,
    };
  }
}
