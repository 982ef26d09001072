/**
 * Placement policy that reserves a decode slot first and times the prefill so
 * that its result is ready when the slot is: not so early that the result
 * expires or waits unused, not so late that the slot is idle. Both kinds of
 * server are compared within a bounded sample: decode servers by corrected load
 * hints, prefill servers by predicted completion time, which includes the
 * queue, the prefix that is probably cached and the KV transfer to the slot.
 */
import { MAX_LATE_PRIORITY, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { rendezvousRank } from "@sassafrascleat/runtime";
import { classRank } from "../admission_queue.ts";
import {
  CLASS_DUE_TIME_OFFSET_MS,
  DECODE_PROBES,
  DECODE_SAMPLE,
  PREFILL_RESULT_TTL_MS,
  PREFILL_SAMPLE,
} from "../constants.ts";
import type {
  BackendState,
  DecodeGrant,
  DecodeProbe,
  PlacementPolicy,
  PlacementRequest,
  PrefillForecast,
  PrefillPlan,
} from "../placement.ts";
import {
  acceptsWork,
  prefillQueueMs,
  prefillWorkMs,
  slotOccupancy,
  transferMs,
} from "./estimate.ts";
import type { PolicyMargins } from "./margins.ts";
import { PrefixCacheIndex } from "./prefix_cache_index.ts";
import { samplePool } from "./sample.ts";

/** A prefill server with the predicted times for one prompt. */
interface Candidate {
  state: BackendState;
  /** Prompt tokens that are probably not cached. */
  expectedTokens: number;
  queueMs: number;
  workMs: number;
  transferMs: number;
  /** Affinity rank; breaks ties between equal completion times. */
  rank: number;
}

/** The just-in-time policy. */
export class JustInTimePolicy implements PlacementPolicy {
  readonly #margins: PolicyMargins;
  readonly #prefixIndex = new PrefixCacheIndex();

  constructor(margins: PolicyMargins) {
    this.#margins = margins;
  }

  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[] {
    const sample = samplePool(req.requestId, pool, DECODE_SAMPLE);
    const available = sample.filter(acceptsWork);
    available.sort((a, b) => slotOccupancy(a) - slotOccupancy(b));
    const probes = available.slice(0, DECODE_PROBES);
    const lastIndex = probes.length - 1;
    return probes.map((state, i) => ({
      name: state.server.name,
      maxWaitMs: this.#slotWaitMs(req, i === lastIndex, nowMs),
    }));
  }

  prefillPlan(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined {
    const best = this.#bestPrefill(req, grant, pool, nowMs);
    if (!best) return undefined;
    const serviceMs = best.workMs + best.transferMs;
    const earliestReadyMs = best.queueMs + serviceMs;
    if (nowMs + earliestReadyMs > req.deadlineMs) return undefined;
    if (earliestReadyMs > this.#margins.maxSlotHoldMs + grant.readyInMs) {
      return undefined;
    }
    this.#prefixIndex.record(best.state.server.name, req.pieceHashes);
    const startInMs = this.#startDelayMs(grant, best);
    return {
      name: best.state.server.name,
      startInMs,
      startWithinMs: this.#startWindowMs(
        req,
        grant,
        serviceMs,
        startInMs,
        nowMs,
      ),
      priority: priorityOf(req, earliestReadyMs, nowMs),
      dueInMs: prefillDueInMs(req, best, this.#margins, nowMs),
      expectedTokens: best.expectedTokens,
    };
  }

  forecastPrefill(
    req: PlacementRequest,
    pool: readonly BackendState[],
    plannedTokens: number,
    nowMs: number,
  ): PrefillForecast {
    const cached = cachedTokens(
      req,
      this.#prefixIndex.bestMatch(req.pieceHashes),
    );
    const expectedTokens = req.promptTokens - cached;
    const available = this.#prefillSample(req, pool).filter(acceptsWork);
    if (available.length === 0) return { holdMs: 0, expectedTokens };
    const canMeetTarget = available.some((state) =>
      meetsTarget(req, prefillWorkMs(state, expectedTokens), nowMs)
    );
    const queueTimesMs = available.map((state) =>
      prefillQueueMs(state, canMeetTarget) +
      prefillWorkMs(state, plannedTokens / available.length)
    );
    const {
      maxPrefillQueueMs: queueLimitMs,
      maxLatePrefillQueueMs: lateQueueLimitMs,
    } = this.#margins;
    const excessMs = Math.min(...queueTimesMs) -
      (canMeetTarget ? queueLimitMs : lateQueueLimitMs);
    const holdLimitMs = canMeetTarget ? Infinity : this.#margins.maxLateHoldMs;
    const holdMs = Math.max(0, Math.min(excessMs, holdLimitMs));
    return { holdMs, expectedTokens };
  }

  /**
   * Removes the pieces from the prefix index that the server did not have cached,
   * then records the whole prompt, which it has computed by now.
   */
  observePrefill(
    req: PlacementRequest,
    name: string,
    cachedTokens: number,
  ): void {
    const count = Math.floor(cachedTokens / TOKENS_PER_PIECE);
    this.#prefixIndex.correct(name, req.pieceHashes, count);
    this.#prefixIndex.record(name, req.pieceHashes);
  }

  /**
   * Longest wait for a slot at one server. It is short for all but the last
   * server asked, because the prefill takes about that long anyway; at the last
   * server the request may wait for the rest of its slack.
   */
  #slotWaitMs(
    req: PlacementRequest,
    last: boolean,
    nowMs: number,
  ): number {
    const slackMs = req.firstTokenDueMs - nowMs -
      this.#margins.firstDecodeStepMs -
      transferMs(req.promptTokens, false);
    const lateWaitMs = Math.min(
      this.#margins.maxLateSlotWaitMs,
      req.deadlineMs - nowMs,
    );
    const waitMs = slackMs > 0 ? slackMs : lateWaitMs;
    if (last) return Math.max(0, waitMs);
    return Math.max(0, Math.min(this.#margins.maxEarlierProbeWaitMs, waitMs));
  }

  #bestPrefill(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const state of this.#prefillSample(req, pool)) {
      if (!acceptsWork(state)) continue;
      const candidate = this.#candidate(req, grant, state, nowMs);
      if (!best || isBetter(candidate, best)) best = candidate;
    }
    return best;
  }

  /** Samples servers by the first piece, so that prompts with a common prefix share a sample. */
  #prefillSample(
    req: PlacementRequest,
    pool: readonly BackendState[],
  ): readonly BackendState[] {
    return samplePool(affinityKey(req), pool, PREFILL_SAMPLE);
  }

  #candidate(
    req: PlacementRequest,
    grant: DecodeGrant,
    state: BackendState,
    nowMs: number,
  ): Candidate {
    const { name, availabilityZone } = state.server;
    const matched = this.#prefixIndex.match(name, req.pieceHashes);
    const expectedTokens = req.promptTokens - cachedTokens(req, matched);
    const workMs = prefillWorkMs(state, expectedTokens);
    return {
      state,
      expectedTokens,
      queueMs: prefillQueueMs(state, meetsTarget(req, workMs, nowMs)),
      workMs,
      transferMs: transferMs(
        req.promptTokens,
        availabilityZone === grant.availabilityZone,
      ),
      rank: rendezvousRank(affinityKey(req), name),
    };
  }

  /** Delay of the prefill so that its result is ready `earlyMs` before the slot is free. */
  #startDelayMs(grant: DecodeGrant, best: Candidate): number {
    const earlyMs = Math.min(
      this.#margins.earlyMs,
      PREFILL_RESULT_TTL_MS / 2,
    );
    const leadMs = best.workMs + best.transferMs + best.queueMs;
    return Math.max(0, grant.readyInMs - leadMs - earlyMs);
  }

  /**
   * Time within which the prefill has to start to be complete before the slot
   * reservation and the request deadline end.
   */
  #startWindowMs(
    req: PlacementRequest,
    grant: DecodeGrant,
    serviceMs: number,
    startInMs: number,
    nowMs: number,
  ): number {
    const untilSlotLossMs = grant.readyInMs + this.#margins.maxSlotHoldMs -
      serviceMs;
    const untilDeadlineMs = req.deadlineMs - nowMs - serviceMs;
    return Math.max(startInMs, Math.min(untilSlotLossMs, untilDeadlineMs), 0);
  }
}

function affinityKey(req: PlacementRequest): string {
  return req.pieceHashes[0] ?? req.requestId;
}

/** Prefers the earlier completion; times that differ by at most 1 ms are decided by affinity. */
function isBetter(a: Candidate, b: Candidate): boolean {
  const endA = a.queueMs + a.workMs + a.transferMs;
  const endB = b.queueMs + b.workMs + b.transferMs;
  if (Math.abs(endA - endB) > 1) return endA < endB;
  return a.rank > b.rank;
}

/** Prompt tokens in the first `pieces` pieces; at least one token is always computed. */
function cachedTokens(req: PlacementRequest, pieces: number): number {
  const maxCachedTokens = Math.max(0, req.promptTokens - 1);
  return Math.min(pieces * TOKENS_PER_PIECE, maxCachedTokens);
}

/** Returns whether the target can be met if the prefill starts now and takes `workMs`. */
function meetsTarget(
  req: PlacementRequest,
  workMs: number,
  nowMs: number,
): boolean {
  const afterPrefillMs = transferMs(req.promptTokens, false);
  return nowMs + workMs + afterPrefillMs <= req.firstTokenDueMs;
}

/** Time until the prefill has to be complete for the first token to be in time. */
function prefillDueInMs(
  req: PlacementRequest,
  best: Candidate,
  margins: PolicyMargins,
  nowMs: number,
): number {
  const afterPrefillMs = best.transferMs + margins.firstDecodeStepMs;
  return req.firstTokenDueMs - nowMs - afterPrefillMs;
}

const MAX_PRIORITY = 1_000_000;

/** Least slack first, with an offset for lower classes; late requests come last. */
function priorityOf(
  req: PlacementRequest,
  earliestReadyMs: number,
  nowMs: number,
): number {
  const slackMs = Math.round(req.firstTokenDueMs - nowMs - earliestReadyMs);
  const classOrder = classRank(req.requestClass);
  if (slackMs < 0) return MAX_LATE_PRIORITY - classOrder;
  const adjustedSlackMs = slackMs + CLASS_DUE_TIME_OFFSET_MS[req.requestClass];
  return Math.max(MAX_LATE_PRIORITY + 1, MAX_PRIORITY - adjustedSlackMs);
}
