/** Summary figures of a run of the placement bench. */
import type { GoodputBound } from "./bound.ts";
import type { DeploymentShape } from "./deployment.ts";
import type { EngineCounters } from "./cluster.ts";
import { CallOutcome, type CallRecord } from "./replay_trace.ts";

/** 50th, 95th and 99th percentiles, in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
}

/**
 * Figures of one policy's run. Shares refer to the requests that were not
 * cancelled.
 */
export interface RunReport {
  /** Share of requests within both targets. */
  goodput: number;
  /** Goodput divided by its upper bound. */
  ofBound: number;
  ttftMet: number;
  /** Share of requests whose mean time between tokens is within the target. */
  tbtMet: number;
  /**
   * Share of requests whose 95th percentile gap between tokens is within the
   * target; not part of goodput.
   */
  gapsMet: number;
  ttftMs: Percentiles;
  tbtMs: Percentiles;
  /**
   * Computed prompt tokens whose result was never used, as a share of all
   * computed ones.
   */
  wastedPrefill: number;
  /**
   * Prompt tokens served from prefix caches, as a share of all prompt tokens.
   */
  cachedPrefill: number;
  /** Requests whose answer is unknown, truncated or incorrect. */
  lost: number;
  /** Requests that were reported as not executed. */
  notRun: number;
  cancelled: number;
  /** Prefills and decodes started per request. */
  prefillsPerRequest: number;
  decodesPerRequest: number;
  /** Engine memory still allocated after the run, in pieces of the KV cache. */
  heldPieces: number;
  reasons: Record<string, number>;
}

/** Computes the figures of one run. */
export function summarize(
  records: readonly CallRecord[],
  counters: readonly EngineCounters[],
  bound: GoodputBound,
  shape: DeploymentShape,
): RunReport {
  const uncancelled = records.filter((it) =>
    it.req.cancelAfterMs === undefined
  );
  const answered = uncancelled.filter((it) =>
    it.outcome === CallOutcome.Answered
  );
  const share = (count: number) =>
    round(count / Math.max(1, uncancelled.length));
  const ttftMet = answered.filter((it) => meetsTtft(it, shape));
  const tbtMet = answered.filter((it) => meetsTbt(it, shape));
  const good = ttftMet.filter((it) => meetsTbt(it, shape));
  const count = (outcome: CallOutcome) =>
    uncancelled.filter((it) => it.outcome === outcome).length;
  return {
    goodput: share(good.length),
    ofBound: round(good.length / uncancelled.length / bound.goodput),
    ttftMet: share(ttftMet.length),
    tbtMet: share(tbtMet.length),
    gapsMet: share(
      answered.filter((it) => p95GapMeetsTbt(it, shape)).length,
    ),
    ttftMs: percentiles(answered.map((it) => it.ttftMs ?? Infinity)),
    tbtMs: percentiles(answered.flatMap((it) => it.gapsMs)),
    ...prefillShares(counters),
    lost: count(CallOutcome.Unknown) + count(CallOutcome.Broken) +
      count(CallOutcome.Cancelled),
    notRun: count(CallOutcome.NotRun),
    cancelled: records.length - uncancelled.length,
    prefillsPerRequest: round(
      sum(counters, (it) => it.prefillsRun) /
        records.length,
    ),
    decodesPerRequest: round(
      sum(counters, (it) => it.decodesStarted) /
        records.length,
    ),
    heldPieces: sum(counters, (it) => it.heldPieces),
    reasons: countReasons(uncancelled),
  };
}

/** Whether the mean time between the answer's tokens is within the target. */
function meetsTbt(record: CallRecord, shape: DeploymentShape): boolean {
  const { gapsMs } = record;
  if (gapsMs.length === 0) return true;
  return sum(gapsMs, (it) => it) / gapsMs.length <= shape.tbtTargetMs;
}

/**
 * Whether the 95th percentile gap between the answer's tokens is within the
 * target.
 */
function p95GapMeetsTbt(record: CallRecord, shape: DeploymentShape): boolean {
  const ordered = sorted(record.gapsMs);
  return percentile(ordered, 0.95) <= shape.tbtTargetMs;
}

function meetsTtft(record: CallRecord, shape: DeploymentShape): boolean {
  return (record.ttftMs ?? Infinity) <= shape.ttftTargetMs;
}

function prefillShares(counters: readonly EngineCounters[]) {
  const run = sum(counters, (it) => it.prefillTokens);
  const cached = sum(counters, (it) => it.cachedTokens);
  return {
    wastedPrefill: round(sum(counters, (it) => it.wastedTokens) / run),
    cachedPrefill: round(cached / (run + cached)),
  };
}

function countReasons(records: readonly CallRecord[]): Record<string, number> {
  const reasons: Record<string, number> = {};
  for (const { outcome, reason } of records) {
    if (outcome === CallOutcome.Answered) continue;
    const key = `${outcome}: ${reason}`;
    reasons[key] = (reasons[key] ?? 0) + 1;
  }
  return reasons;
}

function percentiles(values: readonly number[]): Percentiles {
  const ordered = sorted(values);
  return {
    p50: round(percentile(ordered, 0.5), 1),
    p95: round(percentile(ordered, 0.95), 1),
    p99: round(percentile(ordered, 0.99), 1),
  };
}

function sorted(values: readonly number[]): number[] {
  return [...values].sort((a, b) => a - b);
}

function percentile(ordered: readonly number[], share: number): number {
  const at = Math.ceil(share * ordered.length) - 1;
  return ordered[Math.max(0, at)] ?? 0;
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function round(value: number, digits = 4): number {
  return Math.round(value * 10 ** digits) / 10 ** digits;
}
