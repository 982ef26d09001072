/**
 * Handles one stream of a service without model engines, or without a prompt:
 * no memory is reserved and there is no separate prefill. A stream that may run
 * only once is sent to another backend server only after proof that it did not
 * run; a resumable one that was cut off continues there after its last event.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { pickPlainBackend } from "../decide/plain_placement.ts";
import type { StreamVersion } from "../versions/stream_version.ts";
import { withDeadline } from "./deadline.ts";
import {
  callOutcomeOf,
  runStreamCall,
  StreamEnd,
  type StreamResult,
} from "./stream_call.ts";
import { recordStream } from "./crash_detection.ts";
import { createProgress, type StreamProgress } from "./generation.ts";
import { checkRateLimits } from "./rate_limit_check.ts";
import { reject } from "./reject.ts";
import {
  type CallerRequest,
  quarantineMs,
  recordCallResult,
  recordMisdirected,
  remainingMs,
  type RunContext,
  type RunOutcome,
  RunReason,
  STATUS_MISDIRECTED,
  tryAcquireRetry,
} from "./run_context.ts";
import { MEAN_RETRY_DELAY_MS, StreamFinisher } from "./stream_outcome.ts";
import { openVersion, withVersion } from "./with_version.ts";

/** Maximum number of backend servers that one request is sent to, in turn. */
const MAX_SENDS = 4;

/** Handles one stream until it has an outcome. */
export function runPlainStream(
  ctx: RunContext,
  req: CallerRequest,
): Promise<RunOutcome> {
  ctx.retryBudgetOf(req.service.name).countRequest();
  const progress = createProgress(req.metadata.lastEventId);
  const finisher = new StreamFinisher(ctx, req, progress);
  const version = openVersion(ctx, req);
  const run = { ctx, req, progress, finisher, version };
  return withDeadline(
    ctx,
    req,
    (signal) =>
      withVersion(version, finisher, signal, () => tryBackends(run, signal)),
  );
}

/** One request for a stream, and how far it has come. */
interface PlainStreamRun {
  ctx: RunContext;
  req: CallerRequest;
  progress: StreamProgress;
  finisher: StreamFinisher;
  version: StreamVersion;
}

async function tryBackends(
  run: PlainStreamRun,
  signal: AbortSignal,
): Promise<RunOutcome> {
  const { ctx, req, finisher, version } = run;
  const tried = new Set<string>();
  while (finisher.sends < MAX_SENDS) {
    const ready = ctx.directory.ready(req.service.name);
    const backends = version.select(ready);
    if (backends.length === 0) return finisher.noBackend();
    checkRateLimits(ctx, backends);
    const backend = pickPlainBackend(backends, ctx, tried);
    if (!backend) break;
    if (quarantineMs(ctx, req) > 0) return finisher.quarantined();
    if (!await version.prepare(backend, signal)) continue;
    if (signal.aborted) return finisher.aborted();
    if (finisher.sends > 0 && !tryAcquireRetry(ctx, req, "stream")) break;
    tried.add(incarnationOf(backend));
    ctx.rateLimits.charge(incarnationOf(backend));
    finisher.sends += 1;
    finisher.attempts += 1;
    finisher.lastBackendId = backend.id;
    const result = await streamFrom(run, backend, signal);
    if (result.end === StreamEnd.Complete) return finisher.answered();
    if (signal.aborted) return finisher.aborted();
    if (result.end === StreamEnd.BackendError) {
      return finisher.backendError(result);
    }
    const mayResume = req.route.resumable &&
      finisher.attempts < req.route.maxAttempts;
    if (result.end === StreamEnd.NotExecuted) finisher.attempts -= 1;
    else if (!mayResume) return finisher.failed(result);
  }
  if (finisher.sends > 0) return finisher.rejectOrFail(RunReason.NotExecuted);
  return reject(ctx, req, RunReason.NoBackend, MEAN_RETRY_DELAY_MS);
}

async function streamFrom(
  { ctx, req, progress, version }: PlainStreamRun,
  backend: Backend,
  signal: AbortSignal,
): Promise<StreamResult> {
  const key = incarnationOf(backend);
  const inProgress = ctx.inProgress.get(key) ?? 0;
  ctx.log("plain_send", {
    req: req.metadata.requestId,
    cause: "stream",
    backend: backend.id,
    in_progress: inProgress,
    remaining_ms: Math.round(remainingMs(ctx, req)),
    config: req.configVersion,
  });
  ctx.inProgress.set(key, inProgress + 1);
  version.sent(backend);
  const result = await runStreamCall(ctx, req, {
    backend,
    progress,
    signal,
    silenceCheckMs: 0,
    onFirstEvent: () => version.begun(backend),
    onFirstEventOrEnd: () => {},
    mayLeave: () => Promise.resolve(false),
    directives: {
      remainingMs: remainingMs(ctx, req),
      backendId: backend.id,
      priority: req.enginePriority,
      customer: req.customerDirective,
      lastEventId: progress.lastEventId,
    },
  });
  version.ended();
  ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 1) - 1);
  if (result.status === STATUS_MISDIRECTED) {
    const metadata = ctx.codec.parseResponse(result.status, result.headers);
    recordMisdirected(ctx, backend, metadata.backendId);
  }
  const outcome = callOutcomeOf(result);
  if (outcome && !signal.aborted) recordCallResult(ctx, backend, outcome, 0);
  await recordStream(ctx, req, backend, result, signal);
  return result;
}
