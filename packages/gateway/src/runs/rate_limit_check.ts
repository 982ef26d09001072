/**
 * Finds out whether backend servers still limit the rate of their requests. A
 * limit ends with a response that doesn't name it, and a router whose share is
 * small or used up may get no response for a long time.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import type { RunContext } from "./run_context.ts";

/** Asks those backend servers that have not named their limit lately. */
export function checkRateLimits(
  ctx: RunContext,
  backends: readonly Backend[],
): void {
  if (ctx.rateLimits.count === 0) return;
  for (const backend of backends) {
    if (!ctx.rateLimits.shouldAsk(incarnationOf(backend))) continue;
    // The response is evaluated like all others.
    void ctx.engines.ping(backend);
  }
}

/** Shortest wait until one of the backend servers may get a request, in ms. */
export function shortestLimitWaitMs(
  ctx: RunContext,
  backends: readonly Backend[],
): number {
  if (ctx.rateLimits.count < backends.length) return 0;
  let shortestMs = backends.length > 0 ? Infinity : 0;
  for (const backend of backends) {
    const waitMs = ctx.rateLimits.waitMs(incarnationOf(backend));
    shortestMs = Math.min(shortestMs, waitMs);
  }
  return shortestMs;
}
