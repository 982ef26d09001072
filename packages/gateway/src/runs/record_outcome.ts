/**
 * Records what the calls to backend servers show about them, both for health
 * checks and for the limits of servers that have just started or returned.
 */
import { type Backend, incarnationOf } from "../backends/backend.ts";
import type { CallOutcome } from "../decide/backend_health.ts";
import { PaceReason } from "../decide/server_pace.ts";
import type { RunContext } from "./run_context.ts";

type Trackers = Pick<RunContext, "health" | "pace">;

/**
 * Records the outcome of a call and returns whether it ejects the backend
 * server. `latencyMs` is 0 if it can't be compared between servers. `peers`
 * lists the servers of the same service. @default none
 */
export function recordOutcome(
  ctx: Trackers,
  backend: Backend,
  outcome: CallOutcome,
  latencyMs: number,
  peers: () => readonly string[] = () => [],
): boolean {
  const ejected = ctx.health.record(
    incarnationOf(backend),
    outcome,
    latencyMs,
    peers,
    ctx.pace.latencyWindow(backend, latencyMs),
  );
  ctx.pace.record(backend, outcome, latencyMs);
  if (ejected) beginAfterEjection(ctx, backend);
  return ejected;
}

/** Ejects a backend server that is known to be unreachable. */
export function ejectBackend(ctx: Trackers, backend: Backend): void {
  ctx.health.eject(incarnationOf(backend));
  beginAfterEjection(ctx, backend);
}

function beginAfterEjection({ health, pace }: Trackers, backend: Backend) {
  const { ejectedUntilMs } = health.recordOf(incarnationOf(backend));
  // One whose address has another server is excluded for good.
  if (ejectedUntilMs === Infinity) return;
  pace.begin(backend, PaceReason.Ejected, ejectedUntilMs);
}
