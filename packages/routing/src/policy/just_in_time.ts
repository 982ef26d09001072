/**
 * Reserves a decode slot first and times the prefill so that its result is
 * ready when the slot is: not so early that it expires or waits unused, not so
 * late that the slot idles. Decode servers are compared by corrected hints in
 * a bounded sample; prefill servers by predicted end of the work, which counts
 * the queue, the prefix that is probably cached and the way to the slot.
 */
import { TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { rendezvousRank } from "@sassafrascleat/runtime";
import { classRank } from "../admission_queue.ts";
import {
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
  PrefillPlan,
} from "../placement.ts";
import {
  freeSlots,
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
      maxWaitMs: this.#slotWaitMs(req, state, i === last, nowMs),
    }));
  }

  prefillPlan(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined {
    const best = this.#bestPrefill(req, grant, pool);
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
    };
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
    state: BackendState,
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
    const shortMs = this.#margins.freeSlotWaitMs;
    return Math.max(0, Math.min(freeSlots(state) > 0 ? shortMs : 0, waitMs));
  }

  #bestPrefill(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
  ): Candidate | undefined {
    let best: Candidate | undefined;
    for (const state of this.#prefillSample(req, pool)) {
      if (!takesWork(state)) continue;
      const candidate = this.#candidate(req, grant, state);
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
  ): Candidate {
    const { name, availabilityZone } = state.server;
    const matched = this.#memory.match(name, req.pieceHashes);
    const cached = Math.min(
      matched * TOKENS_PER_PIECE,
      Math.max(0, req.promptTokens - 1),
    );
    return {
      state,
      queueMs: prefillQueueMs(state),
      workMs: prefillWorkMs(state, req.promptTokens - cached),
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

const CLASS_PRIORITY_STEP = 1_000_000;

/** By class, then least slack first; those that are late anyway go last. */
function priorityOf(
  req: PlacementRequest,
  soonestMs: number,
  nowMs: number,
): number {
  const base = (2 - classRank(req.requestClass)) * CLASS_PRIORITY_STEP;
  const slackMs = req.firstTokenDueMs - nowMs - soonestMs;
  if (slackMs < 0) return base - CLASS_PRIORITY_STEP / 2;
  return base - Math.min(Math.round(slackMs), CLASS_PRIORITY_STEP / 4);
}
