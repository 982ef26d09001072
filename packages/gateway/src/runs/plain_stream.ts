/**
 * One stream of a service without model engines, or without a prompt: nothing
 * is reserved and nothing is read apart. A stream that may run once is sent to
 * another backend server only with proof that it did not run; a resumable one
 * goes on there after its last event when it was cut.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { pickPlainBackend } from "../decide/plain_placement.ts";
import { withDeadline } from "./deadline.ts";
import {
  healthVerdictOf,
  runStreamCall,
  StreamEnd,
  type StreamResult,
} from "./stream_call.ts";
import { createProgress, type StreamProgress } from "./generation.ts";
import { refuse } from "./refuse.ts";
import {
  type CallerRequest,
  judgeBackend,
  remainingMs,
  type RunContext,
  type RunOutcome,
  RunReason,
  takeRepeat,
} from "./run_context.ts";
import { BUSY_MS, StreamOutcomes } from "./stream_outcome.ts";

/** Backend servers that one request is sent to in turn. */
const MAX_SENDS = 4;

/** Runs one stream to its end. */
export function runPlainStream(
  ctx: RunContext,
  req: CallerRequest,
): Promise<RunOutcome> {
  ctx.allowanceOf(req.service.name).countRequest();
  return withDeadline(ctx, req, (signal) => runInTurn(ctx, req, signal));
}

async function runInTurn(
  ctx: RunContext,
  req: CallerRequest,
  signal: AbortSignal,
): Promise<RunOutcome> {
  const progress = createProgress(req.facts.lastEventId);
  const outcomes = new StreamOutcomes(ctx, req, progress);
  const tried = new Set<string>();
  while (outcomes.sends < MAX_SENDS) {
    const backends = ctx.directory.ready(req.service.name);
    const backend = pickPlainBackend(backends, ctx, tried);
    if (!backend) break;
    if (outcomes.sends > 0 && !takeRepeat(ctx, req, "stream")) break;
    tried.add(incarnationOf(backend));
    outcomes.sends += 1;
    outcomes.attempts += 1;
    outcomes.lastBackend = backend.id;
    const result = await stream(ctx, req, backend, progress, signal);
    if (result.end === StreamEnd.Complete) return outcomes.answered();
    if (signal.aborted) return outcomes.aborted();
    if (result.end === StreamEnd.BackendError) {
      return outcomes.backendError(result);
    }
    const mayResume = req.route.resumable &&
      outcomes.attempts < req.route.maxAttempts;
    if (result.end === StreamEnd.NotExecuted) outcomes.attempts -= 1;
    else if (!mayResume) return outcomes.failed(result);
  }
  if (outcomes.sends > 0) return outcomes.stopped(RunReason.NotExecuted);
  return refuse(ctx, req, RunReason.NoBackend, BUSY_MS);
}

async function stream(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  progress: StreamProgress,
  signal: AbortSignal,
): Promise<StreamResult> {
  const key = incarnationOf(backend);
  const before = ctx.inProgress.get(key) ?? 0;
  ctx.log("plain_send", {
    req: req.facts.requestId,
    cause: "stream",
    backend: backend.id,
    in_progress: before,
    remaining_ms: Math.round(remainingMs(ctx, req)),
    config: req.configVersion,
  });
  ctx.inProgress.set(key, before + 1);
  const result = await runStreamCall(ctx, req, {
    backend,
    progress,
    signal,
    silenceMs: 0,
    onBegun: () => {},
    isLost: () => Promise.resolve(false),
    directives: {
      remainingMs: remainingMs(ctx, req),
      backendId: backend.id,
      priority: req.route.priority,
      lastEventId: progress.lastEventId,
    },
  });
  ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 1) - 1);
  const verdict = healthVerdictOf(result.end);
  if (verdict && !signal.aborted) judgeBackend(ctx, backend, verdict, 0);
  return result;
}
