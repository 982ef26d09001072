/**
 * Tells the quarantine which prompts engines have run, and which ones an engine
 * had received when it crashed. A connection that ends early is a crash only if
 * the engine does not respond on a new connection either: engines also break off
 * single responses.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { ExchangeOutcome, type ExchangeResult } from "../http/exchange.ts";
import { CallFailure } from "../http/upstream_call.ts";
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
  const { prompt } = req.metadata;
  if (!prompt) return;
  if (end === StreamEnd.Complete || events >= MIN_EVENTS_OF_RUN) {
    return ctx.quarantine.recordRun(req.service.name, prompt);
  }
  if (end === StreamEnd.Cut) {
    await recordIfCrashed(ctx, req, backend, signal);
  }
}

/**
 * Records what a call with a buffered response shows about its prompt. A success
 * is not recorded: a prefill says nothing about the generation.
 */
export async function recordExchangedPrompt(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  result: ExchangeResult,
  signal: AbortSignal,
): Promise<void> {
  if (result.end !== ExchangeOutcome.Failed || !result.sent) return;
  if (result.failure !== CallFailure.Broken) return;
  await recordIfCrashed(ctx, req, backend, signal);
}

async function recordIfCrashed(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  signal: AbortSignal,
): Promise<void> {
  const { prompt } = req.metadata;
  if (!prompt || signal.aborted) return;
  if (await ctx.engines.isAlive(backend, signal) || signal.aborted) return;
  ctx.quarantine.recordCrash(req.service.name, incarnationOf(backend), prompt);
}
