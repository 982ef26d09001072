/**
 * An upper bound on the requests that any scheduler, even one that knows the
 * whole trace, could serve within both targets. Each pool is relaxed to one
 * machine that may split, move and interrupt its work at no cost, and the
 * smaller of the two results is taken:
 *
 * - A request served in time has its prefill work done between its arrival and
 *   its first-token target, less the least time of the steps behind it. `n`
 *   prefill engines do at most `n` milliseconds of work in one.
 * - Its tokens are produced after the least time to its decode start. The last
 *   one comes at most `tokens - 1` of the longest steps after the first-token
 *   target, since an engine gives every request in its batch a token in each
 *   step and no batch holds more than its slots. Answers are taken to stay
 *   where they began. An engine makes `n / (base + n * perRequest)` tokens a
 *   millisecond with `n` in its batch; this grows with `n`, so a full batch is
 *   the most it can do.
 *
 * A fraction of a request counts as that fraction, and every shared prefix is
 * cached, also at its first use. The amounts of work that fit such windows
 * form a polymatroid, over which accepting requests greedily by value for each
 * unit of work, the shortest first, is optimal. Every step only widens what a
 * scheduler may do, so none under the real constraints serves more.
 */
import { type DeploymentShape, stepMs } from "./deployment.ts";
import { type Job, mostJobs } from "./fluid_machine.ts";
import { leastDecodeMs, leastPrefillMs, type TraceRequest } from "./trace.ts";

/** Shares of the requests that were not cancelled. */
export interface GoodputBound {
  /** Could be served in time at most. */
  goodput: number;
  /** The same if decode engines had no limit. */
  prefillGoodput: number;
  /** The same if prefill engines had no limit. */
  decodeGoodput: number;
  /** Would be served in time by an idle system. */
  feasible: number;
}

/** Computes the bound for the requests that were not cancelled. */
export function goodputBound(
  trace: readonly TraceRequest[],
  shape: DeploymentShape,
): GoodputBound {
  const wanted = trace.filter((req) => req.cancelAfterMs === undefined);
  const feasible = wanted.filter((req) =>
    latestPrefillEnd(req, shape) >= leastPrefillEnd(req, shape)
  );
  const prefill = mostJobs(feasible.map((req) => prefillJob(req, shape)));
  const decode = mostJobs(feasible.map((req) => decodeJob(req, shape)));
  const share = (count: number) => count / Math.max(1, wanted.length);
  return {
    goodput: share(Math.min(prefill, decode)),
    prefillGoodput: share(prefill),
    decodeGoodput: share(decode),
    feasible: share(feasible.length),
  };
}

function leastPrefillEnd(req: TraceRequest, shape: DeploymentShape): number {
  return req.atMs + shape.callerLatencyMs + leastPrefillMs(req, shape);
}

function latestPrefillEnd(req: TraceRequest, shape: DeploymentShape): number {
  return req.atMs + shape.ttftTargetMs - shape.callerLatencyMs -
    stepMs(shape.engine, 1) - leastTransferMs(req, shape);
}

function leastTransferMs(req: TraceRequest, shape: DeploymentShape): number {
  return req.promptTokens / shape.engine.linkRate * 1_000;
}

function prefillJob(req: TraceRequest, shape: DeploymentShape): Job {
  return {
    releaseMs: req.atMs + shape.callerLatencyMs,
    dueMs: latestPrefillEnd(req, shape),
    workMs: leastPrefillMs(req, shape) / shape.prefillEngines,
  };
}

function decodeJob(req: TraceRequest, shape: DeploymentShape): Job {
  const { engine } = shape;
  const dueMs = req.atMs + shape.ttftTargetMs - shape.callerLatencyMs;
  const laterTokens = req.answerTokens - 1;
  return {
    releaseMs: leastPrefillEnd(req, shape) + leastTransferMs(req, shape),
    dueMs: dueMs + laterTokens * stepMs(engine, engine.slots),
    workMs: leastDecodeMs(req, shape) / shape.decodeEngines,
  };
}
