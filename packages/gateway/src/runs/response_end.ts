/**
 * Tells whole responses from those that were cut off. A response without a length
 * ends with its connection, which a crash ends as well, and so does a server that
 * stops at the deadline of the request.
 */
import type { Backend } from "../backends/backend.ts";
import { declaresLength } from "../http/upstream_call.ts";
import type { RawHeaders } from "../http/wire_codec.ts";
import { Liveness, MAX_STANDSTILL_MS } from "./liveness.ts";
import {
  type CallerRequest,
  remainingMs,
  type RunContext,
} from "./run_context.ts";

/** The start of a response. */
export interface ResponseStart {
  status: number;
  headers: RawHeaders;
}

const STATUSES_WITHOUT_BODY = new Set([204, 304]);
/**
 * How much sooner than here a deadline may pass at a server, which gets it in
 * whole milliseconds and has timers of its own, in milliseconds.
 */
const DEADLINE_TOLERANCE_MS = 10;

/**
 * Whether a response without a length may have ended before it was complete. Has
 * to be called when it has ended. A server that only stands still has ended it
 * itself.
 */
export async function mayBeCutOff(
  ctx: RunContext,
  req: CallerRequest,
  backend: Backend,
  { status, headers }: ResponseStart,
): Promise<boolean> {
  const isDelimited = declaresLength(headers) || req.method === "HEAD" ||
    STATUSES_WITHOUT_BODY.has(status);
  if (isDelimited) return false;
  if (remainingMs(ctx, req) < DEADLINE_TOLERANCE_MS) return true;
  const sinceMs = ctx.clock.now();
  const waitMs = Math.min(MAX_STANDSTILL_MS, remainingMs(ctx, req));
  const liveness = await ctx.liveness.check(backend, { waitMs, sinceMs });
  return liveness === Liveness.Gone;
}
