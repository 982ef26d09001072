/**
 * Sends a plain request to one backend server, and records what the result shows
 * about the server and the request.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { CallOutcome } from "../decide/backend_health.ts";
import {
  exchange,
  ExchangeOutcome,
  type ExchangeResult,
} from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
import type { RawHeaders } from "../http/wire_codec.ts";
import { recordCall } from "./crash_detection.ts";
import { classifyReply, ReplyVerdict } from "./reply_verdict.ts";
import { mayBeCutOff } from "./response_end.ts";
import {
  type CallerRequest,
  recordCallResult,
  recordMisdirected,
  remainingMs,
  type RunContext,
  STATUS_MISDIRECTED,
} from "./run_context.ts";

/** How one call ended. */
export interface PlainCallResult {
  backend: Backend;
  exchange: ExchangeResult;
  /** Undefined if there is no complete response. */
  verdict: ReplyVerdict | undefined;
}

/** Sends the request to `backend` until its deadline or `signal` aborts. */
export async function callPlainBackend(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  signal: AbortSignal,
): Promise<PlainCallResult> {
  const key = incarnationOf(backend);
  ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 0) + 1);
  const answer = await forward(ctx, req, backend, signal);
  const result = await withoutHalfBody(ctx, req, backend, answer);
  ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 1) - 1);
  const verdict = verdictOf(ctx, req, result);
  if (!signal.aborted) recordHealth(ctx, backend, result, verdict);
  // A retry doesn't wait for the result: the caller's time is short.
  void recordCall(ctx, req, backend, result, verdict, signal);
  return { backend, exchange: result, verdict };
}

function forward(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  signal: AbortSignal,
): Promise<ExchangeResult> {
  const timeoutMs = remainingMs(ctx, req);
  const directives = {
    remainingMs: timeoutMs,
    backendId: backend.id,
    customer: req.customerDirective,
  };
  return exchange(
    ctx.upstream,
    {
      backend,
      method: req.method,
      path: req.target,
      headers: ctx.codec.buildBackendHeaders(req.headers, directives),
      body: req.body,
    },
    timeoutMs,
    signal,
    (status, headers) =>
      classify(ctx, req, status, headers) !== ReplyVerdict.InvalidResponse,
  );
}

/** A part of a body is no response. */
async function withoutHalfBody(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  result: ExchangeResult,
): Promise<ExchangeResult> {
  if (result.end === ExchangeOutcome.Failed) return result;
  const { elapsedMs } = result;
  if (!await mayBeCutOff(ctx, req, backend, result)) return result;
  return {
    end: ExchangeOutcome.Failed,
    failure: CallFailure.Broken,
    sent: true,
    timedOut: false,
    message: "the response may be cut off",
    elapsedMs,
  };
}

function verdictOf(
  ctx: RunContext,
  req: CallerRequest,
  result: ExchangeResult,
): ReplyVerdict | undefined {
  if (result.end === ExchangeOutcome.Failed) return undefined;
  return classify(ctx, req, result.status, result.headers);
}

function classify(
  ctx: RunContext,
  req: CallerRequest,
  status: number,
  headers: RawHeaders,
): ReplyVerdict {
  const metadata = ctx.codec.parseResponse(status, headers);
  return classifyReply(status, metadata, req.metadata.requestId);
}

function recordHealth(
  ctx: RunContext,
  backend: Backend,
  result: ExchangeResult,
  verdict: ReplyVerdict | undefined,
): void {
  if (
    result.end === ExchangeOutcome.Answered &&
    result.status === STATUS_MISDIRECTED
  ) {
    const metadata = ctx.codec.parseResponse(result.status, result.headers);
    recordMisdirected(ctx, backend, metadata.backendId);
    return;
  }
  recordCallResult(ctx, backend, callOutcomeOf(verdict), result.elapsedMs);
}

function callOutcomeOf(verdict: ReplyVerdict | undefined): CallOutcome {
  if (verdict === ReplyVerdict.Good) return CallOutcome.Good;
  if (verdict === ReplyVerdict.NotExecuted) return CallOutcome.NotExecuted;
  if (verdict === ReplyVerdict.Error) return CallOutcome.Error;
  return CallOutcome.NoResponse;
}
