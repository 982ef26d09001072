/** Error responses that the gateway generates itself. */
import type { LogFields } from "@sassafrascleat/runtime";
import { retryDelayMs } from "../decide/retry_delay.ts";
import {
  STATUS_BAD_GATEWAY,
  STATUS_TOO_MANY_REQUESTS,
  STATUS_UNAVAILABLE,
} from "../http/status.ts";
import type { RawHeaders } from "../http/wire_codec.ts";
import { hasCustomers } from "./request_customer.ts";
import {
  type CallerRequest,
  quarantineMs,
  remainingMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
} from "./run_context.ts";

const STATUS_GATEWAY_TIMEOUT = 504;
/** Mean delay of a retry after a refusal for lack of memory, in milliseconds. */
const NO_MEMORY_RETRY_MS = 1_000;

/**
 * Tells the caller that its request did not run, and when to retry: after
 * `meanDelayMs` on average, before jitter and limits. `attempts` counts all sends
 * to backend servers, although none of them ran the request; where it is omitted
 * the outcome reports 0, even if there were such sends.
 */
export function reject(
  ctx: RunContext,
  req: CallerRequest,
  reason: RunReason,
  meanDelayMs: number,
  attempts = 0,
): RunOutcome {
  const retryAfterMs = retryDelayMs(
    meanDelayMs,
    remainingMs(ctx, req),
    ctx.random,
  );
  return rejectFor(ctx, req, reason, retryAfterMs, attempts);
}

/**
 * Tells the caller that its request got no decode memory, and when to retry; the
 * request did not run. `attempts` is as in {@link reject}.
 */
export function rejectNoCapacity(
  ctx: RunContext,
  req: CallerRequest,
  meanDelayMs: number,
  attempts = 0,
): RunOutcome {
  const reason = RunReason.NoCapacity;
  if (!ctx.policy.overloadControl && !hasCustomers(req)) {
    return reject(ctx, req, reason, meanDelayMs, attempts);
  }
  const { retries, shares } = ctx.schedulingOf(req.service.name);
  const { delayMs, shortageMs, sparePerSecond } = retries.refuse({
    remainingMs: remainingMs(ctx, req),
    durationMs: shares.holdMs,
  });
  return rejectFor(ctx, req, reason, delayMs, attempts, {
    shortage_ms: Math.round(shortageMs),
    spare_per_s: Number(sparePerSecond.toFixed(2)),
  });
}

/**
 * Tells the caller that its prompt is in quarantine, and for how long; the
 * request did not run. `attempts` is as in {@link reject}.
 */
export function rejectQuarantined(
  ctx: RunContext,
  req: CallerRequest,
  attempts = 0,
): RunOutcome {
  const retryAfterMs = quarantineMs(ctx, req);
  return rejectFor(ctx, req, RunReason.Quarantined, retryAfterMs, attempts);
}

/**
 * Tells the caller that the router is about to exit, and to go to another one at
 * once; the request did not run. `attempts` is as in {@link reject}.
 */
export function rejectDraining(
  ctx: RunContext,
  req: CallerRequest,
  attempts = 0,
): RunOutcome {
  return reject(ctx, req, RunReason.Draining, 0, attempts);
}

/**
 * Tells the caller that its customer is over its quota, and when a request of
 * this cost is admitted; the request did not run.
 */
export function rejectOverQuota(
  ctx: RunContext,
  req: CallerRequest,
  retryAfterMs: number,
): RunOutcome {
  const status = STATUS_TOO_MANY_REQUESTS;
  return rejectFor(ctx, req, RunReason.OverQuota, retryAfterMs, 0, {}, status);
}

function rejectFor(
  ctx: RunContext,
  req: CallerRequest,
  reason: RunReason,
  retryAfterMs: number,
  attempts: number,
  causes: LogFields = {},
  status = STATUS_UNAVAILABLE,
): RunOutcome {
  ctx.log("refused", {
    req: req.metadata.requestId,
    route: req.route.name,
    reason,
    back_ms: Math.round(retryAfterMs),
    remaining_ms: Math.round(remainingMs(ctx, req)),
    ...causes,
  });
  req.responder.reply(
    status,
    ctx.codec.buildLocalReplyHeaders(req.metadata.requestId, retryAfterMs),
  );
  return { end: RunEnd.Rejected, reason, status, attempts };
}

/**
 * Headers that tell a caller that there is no memory for the body of its
 * request, which has not been read and did not run.
 */
export function rejectUnread(ctx: RunContext, headers: RawHeaders): RawHeaders {
  const { requestId, deadlineMs } = ctx.codec.parseRequest(headers);
  const retryAfterMs = retryDelayMs(
    NO_MEMORY_RETRY_MS,
    deadlineMs ?? Infinity,
    ctx.random,
  );
  const reason = RunReason.NoMemory;
  ctx.log("refused", {
    req: requestId,
    reason,
    back_ms: Math.round(retryAfterMs),
  });
  ctx.metrics.requests.inc({ kind: "unread", end: RunEnd.Rejected, reason });
  return ctx.codec.buildLocalReplyHeaders(requestId, retryAfterMs);
}

/**
 * Tells the caller that its request failed and may have run. `attempts` counts
 * only the sends that may have run it.
 */
export function fail(
  ctx: RunContext,
  req: CallerRequest,
  reason: RunReason,
  attempts: number,
  backendId?: string,
): RunOutcome {
  const end = RunEnd.Failed;
  const timedOut = reason === RunReason.TimedOut;
  const status = timedOut ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
  if (req.responder.started) req.responder.destroy();
  else {req.responder.reply(
      status,
      ctx.codec.buildLocalReplyHeaders(req.metadata.requestId),
    );}
  return { end, reason, status, attempts, backendId };
}
