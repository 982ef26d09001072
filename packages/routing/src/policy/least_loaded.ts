/**
 * Baseline: the least loaded decode servers according to the hints, then the
 * prefill server with the shortest queue. The prefill starts at once, whether or
 * not the decode slot is free.
 */
import type {
  BackendState,
  DecodeGrant,
  DecodeProbe,
  PlacementPolicy,
  PlacementRequest,
  PrefillPlan,
} from "../placement.ts";
import { DECODE_PROBES } from "../constants.ts";
import { acceptsWork, prefillQueueMs, slotOccupancy } from "./estimate.ts";

/** Chooses servers by load only and starts the prefill immediately. */
export class LeastLoadedPolicy implements PlacementPolicy {
  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[] {
    const available = pool.filter(acceptsWork);
    available.sort((a, b) => slotOccupancy(a) - slotOccupancy(b));
    const maxWaitMs = Math.max(0, req.deadlineMs - nowMs);
    return available.slice(0, DECODE_PROBES)
      .map((state) => ({ name: state.server.name, maxWaitMs }));
  }

  prefillPlan(
    req: PlacementRequest,
    _grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined {
    const available = pool.filter(acceptsWork);
    available.sort((a, b) => prefillQueueMs(a) - prefillQueueMs(b));
    const chosen = available[0];
    if (!chosen) return undefined;
    return {
      name: chosen.server.name,
      startInMs: 0,
      startWithinMs: Math.max(0, req.deadlineMs - nowMs),
      priority: 0,
    };
  }
}
