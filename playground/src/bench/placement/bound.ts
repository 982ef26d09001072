/**
 * Upper bound on the requests that any scheduler, even one that knows the
 * whole trace, could serve within both targets. Each pool is relaxed to a
 * single server that may split, migrate and preempt work at no cost, and the
 * bound is the smaller of the two results:
 *
 * - Prefill: the work of a request served in time is done between its arrival
 *   and its first-token target, less the minimum time of the steps that follow
 *   the prefill. `n` prefill engines do at most `n` milliseconds of work per
 *   millisecond.
 * - Decode: the tokens are produced after the earliest possible decode start.
 *   The last one is produced at most `tokens - 1` of the longest steps after
 *   the first-token target, since an engine produces one token per step for
 *   every request in its batch and a batch is limited to the engine's slots.
 *   Answers are assumed not to migrate between engines. An engine with `n`
 *   requests in its batch produces `n / (base + n * perRequest)` tokens per
 *   millisecond; this increases with `n`, so a full batch gives the highest
 *   rate.
 *
 * A partially served request counts as that fraction, and every shared prefix
 * is assumed to be cached, even at its first use. The amounts of work that fit
 * such windows form a polymatroid, so accepting requests greedily by value per
 * unit of work (the shortest first) is optimal. Every relaxation only allows
 * more schedules, so no scheduler under the real constraints can serve more.
 */
import { type DeploymentShape, stepMs } from "./deployment.ts";
import { type Job, maxJobSum } from "./preemptive_schedule.ts";
import { minDecodeMs, minPrefillMs, type TraceRequest } from "./trace.ts";

/** Upper bounds as shares of the requests that were not cancelled. */
export interface GoodputBound {
  /** Highest share that can be served in time. */
  goodput: number;
  /** The same with unlimited decode engines. */
  prefillGoodput: number;
  /** The same with unlimited prefill engines. */
  decodeGoodput: number;
  /** Share that an idle system would serve in time. */
  feasible: number;
}

/** Computes the bound for the requests that were not cancelled. */
export function goodputBound(
  trace: readonly TraceRequest[],
  shape: DeploymentShape,
): GoodputBound {
  const uncancelled = trace.filter((req) => req.cancelAfterMs === undefined);
  const feasible = uncancelled.filter((req) =>
    latestPrefillEnd(req, shape) >= earliestPrefillEnd(req, shape)
  );
  const prefill = maxJobSum(feasible.map((req) => prefillJob(req, shape)));
  const decode = maxJobSum(feasible.map((req) => decodeJob(req, shape)));
  const share = (count: number) => count / Math.max(1, uncancelled.length);
  return {
    goodput: share(Math.min(prefill, decode)),
    prefillGoodput: share(prefill),
    decodeGoodput: share(decode),
    feasible: share(feasible.length),
  };
}

function earliestPrefillEnd(req: TraceRequest, shape: DeploymentShape): number {
  return req.atMs + shape.callerLatencyMs + minPrefillMs(req, shape);
}

function latestPrefillEnd(req: TraceRequest, shape: DeploymentShape): number {
  return req.atMs + shape.ttftTargetMs - shape.callerLatencyMs -
    stepMs(shape.engine, 1) - minTransferMs(req, shape);
}

function minTransferMs(req: TraceRequest, shape: DeploymentShape): number {
  return req.promptTokens / shape.engine.linkRate * 1_000;
}

function prefillJob(req: TraceRequest, shape: DeploymentShape): Job {
  return {
    releaseMs: req.atMs + shape.callerLatencyMs,
    deadlineMs: latestPrefillEnd(req, shape),
    workMs: minPrefillMs(req, shape) / shape.prefillEngines,
  };
}

function decodeJob(req: TraceRequest, shape: DeploymentShape): Job {
  const { engine } = shape;
  const firstTokenDueMs = req.atMs + shape.ttftTargetMs - shape.callerLatencyMs;
  const laterTokens = req.answerTokens - 1;
  return {
    releaseMs: earliestPrefillEnd(req, shape) + minTransferMs(req, shape),
    deadlineMs: firstTokenDueMs + laterTokens * stepMs(engine, engine.slots),
    workMs: minDecodeMs(req, shape) / shape.decodeEngines,
  };
}
