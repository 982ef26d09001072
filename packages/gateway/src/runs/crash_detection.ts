/**
 * Tells the quarantine which requests backend servers have run, and which ones
 * a server had received when it crashed. A connection that ends early is a crash
 * only if the server is gone: servers also break off single responses, and may
 * stand still after that.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { ExchangeOutcome, type ExchangeResult } from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
import { Liveness, MAX_STANDSTILL_MS } from "./liveness.ts";
import { ReplyVerdict } from "./reply_verdict.ts";
import type { CallerRequest, RunContext } from "./run_context.ts";
import { StreamEnd, type StreamResult } from "./stream_call.ts";

/**
 * Events after which a crash is not attributed to the stream. Engines crash on a
 * request as soon as they begin to generate.
 */
const MIN_EVENTS_OF_RUN = 3;

/** Records what a stream shows about its request. */
export async function recordStream(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  { end, events }: StreamResult,
  signal: AbortSignal,
): Promise<void> {
  if (end === StreamEnd.Complete || events >= MIN_EVENTS_OF_RUN) {
    return ctx.quarantine.recordRun(req.keys);
  }
  if (end === StreamEnd.Cut) {
    await recordIfCrashed(ctx, req, backend, signal);
  }
}

/** Records what a call to a plain service shows about its request. */
export async function recordCall(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  result: ExchangeResult,
  verdict: ReplyVerdict | undefined,
  signal: AbortSignal,
): Promise<void> {
  if (verdict === ReplyVerdict.Good || verdict === ReplyVerdict.Error) {
    return ctx.quarantine.recordRun(req.keys);
  }
  if (isBroken(result)) await recordIfCrashed(ctx, req, backend, signal);
}

/**
 * Records what a prefill shows about its request. A success shows nothing: the
 * generation may still crash its engine.
 */
export async function recordPrefill(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  result: ExchangeResult,
  signal: AbortSignal,
): Promise<void> {
  if (isBroken(result)) await recordIfCrashed(ctx, req, backend, signal);
}

/** Whether the connection ended after the request had been sent. */
function isBroken(result: ExchangeResult): boolean {
  return result.end === ExchangeOutcome.Failed && result.sent &&
    result.failure === CallFailure.Broken;
}

async function recordIfCrashed(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return;
  const record = (liveness: Liveness) => {
    if (liveness !== Liveness.Gone) return;
    ctx.quarantine.recordCrash(incarnationOf(backend), req.keys);
  };
  const liveness = await ctx.liveness.check(backend);
  record(liveness);
  if (liveness !== Liveness.Silent) return;
  // The request doesn't wait for a server that stands still.
  void ctx.liveness.check(backend, { waitMs: MAX_STANDSTILL_MS }).then(record);
}
