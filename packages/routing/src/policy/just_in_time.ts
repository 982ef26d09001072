/**
 * Reserves a decode slot first and times the prefill so that its result is
 * ready when the slot is: not so early that it expires or waits unused, not so
 * late that the slot idles. Decode servers are compared by corrected hints in
 * a bounded sample; prefill servers by predicted end of the work, which counts
 * the queue, the prefix that is probably cached and the way to the slot.
 */
import { LATE_PRIORITY, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { rendezvousRank } from "@sassafrascleat/runtime";
import { classRank } from "../admission_queue.ts";
import {
  CLASS_DELAY_MS,
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
  PrefillOutlook,
  PrefillPlan,
} from "../placement.ts";
import {
  prefillQueueMs,
  prefillWorkMs,
  slotOccupancy,
  takesWork,
  transferMs,
} from "./estimate.ts";
import type { PolicyMargins } from "./margins.ts";
import { PrefixMemory } from "./prefix_memory.ts";
import { samplePool } from "./sample.ts";

/** A prefill server with the predicted course of one prompt. */
interface Candidate {
  state: BackendState;
  /** Prompt tokens that are probably not cached. */
  expectedTokens: number;
  queueMs: number;
  workMs: number;
  transferMs: number;
  /** Affinity rank; breaks ties between equal ends. */
  rank: number;
}

/** The just-in-time policy. */
export class JustInTimePolicy implements PlacementPolicy {
  readonly #margins: PolicyMargins;
  readonly #memory = new PrefixMemory();

  constructor(margins: PolicyMargins) {
    this.#margins = margins;
  }

  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[] {
    const sample = samplePool(req.requestId, pool, DECODE_SAMPLE);
    const able = sample.filter(takesWork);
    able.sort((a, b) => slotOccupancy(a) - slotOccupancy(b));
    const probes = able.slice(0, DECODE_PROBES);
    const last = probes.length - 1;
    return probes.map((state, i) => ({
      name: state.server.name,
      maxWaitMs: this.#slotWaitMs(req, i === last, nowMs),
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
    const leadMs = best.workMs + best.transferMs;
    const soonestMs = best.queueMs + leadMs;
    if (nowMs + soonestMs > req.deadlineMs) return undefined;
    if (soonestMs > this.#margins.longestSlotHoldMs + grant.readyInMs) {
      return undefined;
    }
    this.#memory.record(best.state.server.name, req.pieceHashes);
    const startInMs = this.#startIn(grant, best);
    return {
      name: best.state.server.name,
      startInMs,
      startWithinMs: this.#startWithin(req, grant, leadMs, startInMs, nowMs),
      priority: priorityOf(req, soonestMs, nowMs),
      dueInMs: dueIn(req, best, this.#margins, nowMs),
      expectedTokens: best.expectedTokens,
    };
  }

  outlook(
    req: PlacementRequest,
    pool: readonly BackendState[],
    plannedTokens: number,
    nowMs: number,
  ): PrefillOutlook {
    const cached = cachedTokens(req, this.#memory.bestMatch(req.pieceHashes));
    const expectedTokens = req.promptTokens - cached;
    const able = this.#prefillSample(req, pool).filter(takesWork);
    if (able.length === 0) return { holdMs: 0, expectedTokens };
    const inTime = able.some((state) =>
      meetsTarget(req, prefillWorkMs(state, expectedTokens), nowMs)
    );
    const queues = able.map((state) =>
      prefillQueueMs(state, inTime) +
      prefillWorkMs(state, plannedTokens / able.length)
    );
    const { prefillQueueMs: mostMs, latePrefillQueueMs } = this.#margins;
    const waitMs = Math.min(...queues) -
      (inTime ? mostMs : latePrefillQueueMs);
    const longestMs = inTime ? Infinity : this.#margins.longestLateHoldMs;
    const holdMs = Math.max(0, Math.min(waitMs, longestMs));
    return { holdMs, expectedTokens };
  }

  /** Tells what the prefix cache really held. */
  observePrefill(
    req: PlacementRequest,
    name: string,
    cachedTokens: number,
  ): void {
    const count = Math.floor(cachedTokens / TOKENS_PER_PIECE);
    this.#memory.correct(name, req.pieceHashes, count);
    this.#memory.record(name, req.pieceHashes);
  }

  /** A slot may be awaited as long as the prefill takes anyway; the last one longer. */
  #slotWaitMs(
    req: PlacementRequest,
    last: boolean,
    nowMs: number,
  ): number {
    const slackMs = req.firstTokenDueMs - nowMs - this.#margins.firstStepMs -
      transferMs(req.promptTokens, false);
    const patientMs = Math.min(
      this.#margins.longestSlotWaitMs,
      req.deadlineMs - nowMs,
    );
    const waitMs = slackMs > 0 ? slackMs : patientMs;
    if (last) return Math.max(0, waitMs);
    return Math.max(0, Math.min(this.#margins.firstSlotWaitMs, waitMs));
  }

  #bestPrefill(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const state of this.#prefillSample(req, pool)) {
      if (!takesWork(state)) continue;
      const candidate = this.#candidate(req, grant, state, nowMs);
      if (!best || isBetter(candidate, best)) best = candidate;
    }
    return best;
  }

  /** Servers picked by the leading piece, so that equal prefixes meet again. */
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
    const matched = this.#memory.match(name, req.pieceHashes);
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

  /** Waits so that the result comes `earlyMs` before the slot is free. */
  #startIn(grant: DecodeGrant, best: Candidate): number {
    const earlyMs = Math.min(
      this.#margins.earlyMs,
      PREFILL_RESULT_TTL_MS / 2,
    );
    const leadMs = best.workMs + best.transferMs + best.queueMs;
    return Math.max(0, grant.readyInMs - leadMs - earlyMs);
  }

  /** Late work is dropped while its target can be met elsewhere, not after. */
  #startWithin(
    req: PlacementRequest,
    grant: DecodeGrant,
    leadMs: number,
    startInMs: number,
    nowMs: number,
  ): number {
    const slotMs = grant.readyInMs + this.#margins.longestSlotHoldMs - leadMs;
    const deadlineMs = req.deadlineMs - nowMs - leadMs;
    return Math.max(startInMs, Math.min(slotMs, deadlineMs), 0);
  }
}

function affinityKey(req: PlacementRequest): string {
  return req.pieceHashes[0] ?? req.requestId;
}

/** Sooner end first; ends that differ by less than a hair by affinity. */
function isBetter(a: Candidate, b: Candidate): boolean {
  const endA = a.queueMs + a.workMs + a.transferMs;
  const endB = b.queueMs + b.workMs + b.transferMs;
  if (Math.abs(endA - endB) > 1) return endA < endB;
  return a.rank > b.rank;
}

/** Prompt tokens of the first `pieces` pieces; at least one token runs. */
function cachedTokens(req: PlacementRequest, pieces: number): number {
  const most = Math.max(0, req.promptTokens - 1);
  return Math.min(pieces * TOKENS_PER_PIECE, most);
}

/** Whether the target can be met when the prefill takes `workMs` from now on. */
function meetsTarget(
  req: PlacementRequest,
  workMs: number,
  nowMs: number,
): boolean {
  const restMs = transferMs(req.promptTokens, false);
  return nowMs + workMs + restMs <= req.firstTokenDueMs;
}

/** When the prefill has to end for the first token to be in time. */
function dueIn(
  req: PlacementRequest,
  best: Candidate,
  margins: PolicyMargins,
  nowMs: number,
): number {
  const restMs = best.transferMs + margins.firstStepMs;
  return req.firstTokenDueMs - nowMs - restMs;
}

const HIGHEST_PRIORITY = 1_000_000;

/** Least slack first, with a head start by class; those that are late go last. */
function priorityOf(
  req: PlacementRequest,
  soonestMs: number,
  nowMs: number,
): number {
  const slackMs = Math.round(req.firstTokenDueMs - nowMs - soonestMs);
  const rank = classRank(req.requestClass);
  if (slackMs < 0) return LATE_PRIORITY - rank;
  const later = slackMs + CLASS_DELAY_MS[req.requestClass];
  return Math.max(LATE_PRIORITY + 1, HIGHEST_PRIORITY - later);
}
