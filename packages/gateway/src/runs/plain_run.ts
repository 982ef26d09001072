/**
 * Handles one request to a plain service, that is, one without model engines. A
 * request that is not safe to repeat is sent to another backend server only
 * after proof that it did not run. A safe one is retried after any failure, and
 * hedged: while the first backend server is slow, a second one gets the request
 * too. Retries and hedges count against the retry budget.
 */
import { childAbortController } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { RouteKind } from "../config/routing_table.ts";
import { CallOutcome } from "../decide/backend_health.ts";
import { pickPlainBackend } from "../decide/plain_placement.ts";
import {
  exchange,
  ExchangeOutcome,
  type ExchangeResponse,
  type ExchangeResult,
} from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
import { recordCall } from "./crash_detection.ts";
import { checkRateLimits, shortestLimitWaitMs } from "./rate_limit_check.ts";
import { fail, reject, rejectDraining } from "./reject.ts";
import { classifyReply, ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  quarantineMs,
  recordCallResult,
  recordMisdirected,
  remainingMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
  STATUS_MISDIRECTED,
  tryAcquireRetry,
} from "./run_context.ts";

/** Share of the latency target after which a hedged call is sent. */
const HEDGE_DELAY_SHARE = 0.55;
/** Minimum time until the deadline for a call to be sent, in milliseconds. */
const MIN_REMAINING_MS = 5;
/**
 * Mean retry delay, before jitter, suggested when no backend server is available
 * or none ran the request, in milliseconds.
 */
const MEAN_RETRY_DELAY_MS = 250;

/**
 * Maximum number of retries of a request after sends for which it is proved that
 * the request did not run.
 */
const MAX_UNEXECUTED_SENDS = 3;

interface CallResult {
  backend: Backend;
  exchange: ExchangeResult;
  verdict: ReplyVerdict | undefined;
}

/** Handles one plain request until it has an outcome. */
export function runPlain(
  ctx: RunContext,
  req: CallerRequest,
): Promise<RunOutcome> {
  return new PlainRun(ctx, req).run();
}

class PlainRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #controller: AbortController;
  readonly #tried = new Set<string>();
  readonly #pending = new Set<Promise<CallResult>>();
  /** Sends that may have run the request: all but those proved not to have. */
  #possibleExecutions = 0;
  #unexecutedSends = 0;
  #sends = 0;
  #hedged = false;
  /** A response to another request, or with a modified body, was received. */
  #gotInvalidResponse = false;
  #lastError: ExchangeResponse | undefined;
  #lastBackendId: string | undefined;

  constructor(ctx: RunContext, req: CallerRequest) {
    this.#ctx = ctx;
    this.#req = req;
    this.#controller = childAbortController(ctx.exitSignal);
  }

  async run(): Promise<RunOutcome> {
    const { signal } = this.#req;
    const onCallerGone = () => this.#controller.abort();
    signal.addEventListener("abort", onCallerGone, { once: true });
    if (signal.aborted) onCallerGone();
    try {
      return await this.#serve();
    } finally {
      signal.removeEventListener("abort", onCallerGone);
      this.#controller.abort();
    }
  }

  async #serve(): Promise<RunOutcome> {
    this.#ctx.retryBudgetOf(this.#req.service.name).countRequest();
    if (!this.#send("first")) return this.#rejectUnsent();
    while (this.#pending.size > 0) {
      const result = await this.#nextResult();
      if (!result) continue;
      if (this.#req.signal.aborted) return this.#callerGone();
      const outcome = this.#handleResult(result);
      if (outcome) return outcome;
    }
    return this.#finish();
  }

  #rejectUnsent(): RunOutcome {
    const ctx = this.#ctx;
    const backends = ctx.directory.ready(this.#req.service.name);
    const limitWaitMs = shortestLimitWaitMs(ctx, backends);
    const reason = limitWaitMs > 0
      ? RunReason.RateLimited
      : RunReason.NoBackend;
    const delayMs = Math.max(MEAN_RETRY_DELAY_MS, limitWaitMs);
    return reject(ctx, this.#req, reason, delayMs);
  }

  /** Waits for the next result; undefined if the hedge delay passed first. */
  async #nextResult(): Promise<CallResult | undefined> {
    const calls = [...this.#pending];
    if (!this.#mayHedge()) return await Promise.race(calls);
    const hedgeMs = this.#req.route.targetLatencyMs * HEDGE_DELAY_SHARE -
      ageMs(this.#ctx, this.#req);
    let timer: ReturnType<typeof setTimeout> | undefined;
    const hedgeTimeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), Math.max(1, hedgeMs));
    });
    const result = await Promise.race([...calls, hedgeTimeout]);
    clearTimeout(timer);
    if (result) return result;
    this.#hedged = true;
    this.#send("slow");
    return undefined;
  }

  #mayHedge(): boolean {
    return this.#req.route.kind === RouteKind.Safe &&
      !this.#hedged && this.#possibleExecutions < this.#req.route.maxAttempts &&
      this.#ctx.retryBudgetOf(this.#req.service.name).available >= 1 &&
      this.#pickCandidate() !== undefined;
  }

  #pickCandidate(): Backend | undefined {
    const ctx = this.#ctx;
    const backends = ctx.directory.ready(this.#req.service.name);
    checkRateLimits(ctx, backends);
    return pickPlainBackend(backends, ctx, this.#tried);
  }

  /** Sends the request to another backend server; false if that isn't possible. */
  #send(cause: string): boolean {
    const ctx = this.#ctx;
    const backend = this.#pickCandidate();
    if (!backend) return false;
    if (quarantineMs(ctx, this.#req) > 0) return false;
    if (remainingMs(ctx, this.#req) < MIN_REMAINING_MS) return false;
    if (this.#sends > 0) {
      if (!tryAcquireRetry(ctx, this.#req, cause)) return false;
    }
    this.#sends += 1;
    this.#possibleExecutions += 1;
    this.#tried.add(incarnationOf(backend));
    ctx.rateLimits.charge(incarnationOf(backend));
    this.#lastBackendId = backend.id;
    ctx.log("plain_send", {
      req: this.#req.metadata.requestId,
      cause,
      backend: backend.id,
      in_progress: ctx.inProgress.get(incarnationOf(backend)) ?? 0,
      latency_ms: Math.round(
        ctx.health.recordOf(incarnationOf(backend)).latencyMs,
      ),
      remaining_ms: Math.round(remainingMs(ctx, this.#req)),
      config: this.#req.configVersion,
    });
    const call = this.#call(backend).then((result) => {
      this.#pending.delete(call);
      return result;
    });
    this.#pending.add(call);
    return true;
  }

  async #call(backend: Backend): Promise<CallResult> {
    const ctx = this.#ctx;
    const req = this.#req;
    const key = incarnationOf(backend);
    const timeoutMs = remainingMs(ctx, req);
    ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 0) + 1);
    const result = await exchange(
      ctx.upstream,
      {
        backend,
        method: req.method,
        path: req.target,
        headers: ctx.codec.buildBackendHeaders(req.headers, {
          remainingMs: timeoutMs,
          backendId: backend.id,
        }),
        body: req.body,
      },
      timeoutMs,
      this.#controller.signal,
      (status, headers) => {
        const metadata = ctx.codec.parseResponse(status, headers);
        const id = req.metadata.requestId;
        return classifyReply(status, metadata, id) !==
          ReplyVerdict.InvalidResponse;
      },
    );
    ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 1) - 1);
    const verdict = this.#classify(result);
    this.#recordHealth(backend, result, verdict);
    const { signal } = this.#controller;
    // A retry doesn't wait for the result: the caller's time is short.
    void recordCall(ctx, req, backend, result, verdict, signal);
    return { backend, exchange: result, verdict };
  }

  #classify(result: ExchangeResult): ReplyVerdict | undefined {
    if (result.end === ExchangeOutcome.Failed) return undefined;
    const metadata = this.#ctx.codec.parseResponse(
      result.status,
      result.headers,
    );
    return classifyReply(result.status, metadata, this.#req.metadata.requestId);
  }

  #recordHealth(
    backend: Backend,
    result: ExchangeResult,
    verdict: ReplyVerdict | undefined,
  ): void {
    if (this.#controller.signal.aborted) return;
    if (
      result.end === ExchangeOutcome.Answered &&
      result.status === STATUS_MISDIRECTED
    ) {
      const metadata = this.#ctx.codec.parseResponse(
        result.status,
        result.headers,
      );
      recordMisdirected(this.#ctx, backend, metadata.backendId);
      return;
    }
    const outcome = callOutcomeOf(verdict);
    recordCallResult(this.#ctx, backend, outcome, result.elapsedMs);
  }

  /** Handles one result; returns the outcome when the request is finished. */
  #handleResult(result: CallResult): RunOutcome | undefined {
    const response = result.exchange;
    if (response.end === ExchangeOutcome.Answered) {
      if (result.verdict === ReplyVerdict.Good) {
        return this.#forward(response, result.backend, RunEnd.Answered);
      }
      if (result.verdict === ReplyVerdict.Error) this.#lastError = response;
      if (result.verdict === ReplyVerdict.NotExecuted) this.#recordUnexecuted();
    } else {
      if (!response.sent) this.#recordUnexecuted();
      this.#gotInvalidResponse ||=
        response.failure === CallFailure.InvalidResponse;
    }
    this.#ctx.log("plain_call_failed", {
      req: this.#req.metadata.requestId,
      backend: result.backend.id,
      verdict: result.verdict ?? "no_answer",
      ...(response.end === ExchangeOutcome.Answered
        ? { status: response.status }
        : { failure: response.failure, sent: response.sent }),
      elapsed_ms: Math.round(response.elapsedMs),
    });
    if (this.#mayRetry()) this.#send(result.verdict ?? "no_answer");
    return undefined;
  }

  #recordUnexecuted(): void {
    this.#possibleExecutions -= 1;
    this.#unexecutedSends += 1;
  }

  #mayRetry(): boolean {
    if (this.#controller.signal.aborted) return false;
    if (this.#unexecutedSends > MAX_UNEXECUTED_SENDS) return false;
    if (this.#possibleExecutions >= this.#req.route.maxAttempts) return false;
    return this.#req.route.kind === RouteKind.Safe ||
      this.#possibleExecutions === 0;
  }

  #forward(
    response: ExchangeResponse,
    backend: Backend,
    end: RunEnd,
  ): RunOutcome {
    this.#req.responder.reply(
      response.status,
      this.#ctx.codec.buildCallerHeaders(response.headers),
      response.body,
    );
    return {
      end,
      reason: RunReason.None,
      status: response.status,
      attempts: this.#possibleExecutions,
      backendId: backend.id,
      firstByteMs: ageMs(this.#ctx, this.#req),
    };
  }

  #finish(): RunOutcome {
    const ctx = this.#ctx;
    const req = this.#req;
    if (req.signal.aborted) return this.#callerGone();
    if (this.#lastError) {
      const { status, headers, body } = this.#lastError;
      req.responder.reply(status, ctx.codec.buildCallerHeaders(headers), body);
      return this.#outcome(RunEnd.BackendError, RunReason.None, status);
    }
    if (this.#possibleExecutions === 0 && ctx.exitSignal.aborted) {
      return rejectDraining(ctx, req, this.#sends);
    }
    if (this.#possibleExecutions === 0) {
      return reject(
        ctx,
        req,
        RunReason.NotExecuted,
        MEAN_RETRY_DELAY_MS,
        this.#sends,
      );
    }
    const reason = this.#failureReason();
    return fail(
      ctx,
      req,
      reason,
      this.#possibleExecutions,
      this.#lastBackendId,
    );
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

  #callerGone(): RunOutcome {
    return this.#outcome(RunEnd.CallerLeft, RunReason.None, 0);
  }

  #outcome(end: RunEnd, reason: RunReason, status: number): RunOutcome {
    return {
      end,
      reason,
      status,
      attempts: this.#possibleExecutions,
      backendId: this.#lastBackendId,
    };
  }
}

function callOutcomeOf(verdict: ReplyVerdict | undefined): CallOutcome {
  if (verdict === ReplyVerdict.Good) return CallOutcome.Good;
  if (verdict === ReplyVerdict.NotExecuted) return CallOutcome.NotExecuted;
  if (verdict === ReplyVerdict.Error) return CallOutcome.Error;
  return CallOutcome.NoResponse;
}
