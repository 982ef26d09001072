/**
 * Tells the quarantine which prompts engines have run, and which ones an engine
 * had received when it crashed. A connection that ends early is a crash only if
 * the engine does not respond on a new connection either: engines also break off
 * single responses.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { ExchangeOutcome, type ExchangeResult } from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
import { ReplyVerdict } from "./reply_verdict.ts";
import type { CallerRequest, RunContext } from "./run_context.ts";
import { StreamEnd, type StreamResult } from "./stream_call.ts";

/**
 * Events after which a crash is not attributed to the stream's prompt. Engines
 * crash on a prompt as soon as they begin to generate.
 */
const MIN_EVENTS_OF_RUN = 3;

/** Records what a stream shows about its prompt. */
export async function recordStreamedPrompt(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  { end, events }: StreamResult,
  signal: AbortSignal,
): Promise<void> {
  if (end === StreamEnd.Complete || events >= MIN_EVENTS_OF_RUN) {
    return recordRun(ctx, req);
  }
  if (end === StreamEnd.Cut) {
    await recordIfCrashed(ctx, req, backend, signal);
  }
}

/** Records what a call to a plain service shows about its prompt. */
export async function recordCalledPrompt(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  result: ExchangeResult,
  verdict: ReplyVerdict | undefined,
  signal: AbortSignal,
): Promise<void> {
  if (verdict === ReplyVerdict.Good) return recordRun(ctx, req);
  if (isBroken(result)) await recordIfCrashed(ctx, req, backend, signal);
}

/**
 * Records what a prefill shows about its prompt. A success shows nothing: the
 * generation may still crash its engine.
 */
export async function recordPrefilledPrompt(
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

function recordRun(ctx: RunContext, req: CallerRequest): void {
  ctx.quarantine.recordRun(req.service.name, req.metadata.promptParts);
}

async function recordIfCrashed(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  signal: AbortSignal,
): Promise<void> {
  const { promptParts } = req.metadata;
  if (promptParts.length === 0 || signal.aborted) return;
  if (await ctx.engines.isAlive(backend, signal) || signal.aborted) return;
  const engine = incarnationOf(backend);
  ctx.quarantine.recordCrash(req.service.name, engine, promptParts);
}
