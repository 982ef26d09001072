/** Connects the slow start of backend servers to the state of one router. */
import type { Clock, Logger } from "@sassafrascleat/runtime";
import type { BackendDirectory } from "./backends/directory.ts";
import type { HealthTracker } from "./decide/backend_health.ts";
import type { RequestRateLimits } from "./decide/request_rate_limits.ts";
import type { RouterRanks } from "./decide/router_ranks.ts";
import { type PaceStep, ServerPace } from "./decide/server_pace.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { GatewayPolicy } from "./policy.ts";

/** What the slow start of backend servers depends on. */
export interface ServerPaceContext {
  clock: Clock;
  log: Logger;
  health: HealthTracker;
  rateLimits: RequestRateLimits;
  ranks: RouterRanks;
  directory: BackendDirectory;
  metrics: GatewayMetrics;
  policy: GatewayPolicy;
}

/** Creates the limits of servers that have just started or returned. */
export function createServerPace(ctx: ServerPaceContext): ServerPace {
  const { directory, health, metrics, policy, rateLimits } = ctx;
  return new ServerPace({
    clock: ctx.clock,
    health,
    ranks: ctx.ranks,
    enabled: () => policy.pacing,
    peersOf: ({ service, stage }) =>
      stage ? directory.readyAt(service, stage) : directory.ready(service),
    isUsable: (key) => health.isUsable(key) && rateLimits.allows(key),
    onStep: (step) => logStep(ctx.log, step),
    onLimitReached: () => metrics.paceLimitReached.inc(),
  });
}

function logStep(log: Logger, step: PaceStep): void {
  log("backend_limit", {
    change: step.event,
    backend: step.backend.id,
    limit: step.limit,
    reason: step.reason,
    age_ms: Math.round(step.ageMs),
    delay_ms: Math.round(step.delayMs),
    latency_ratio: step.latencyRatio && Number(step.latencyRatio.toFixed(2)),
  });
}
