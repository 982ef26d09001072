/**
 * Baseline: decode and prefill servers in turn, prefill at once. Looks at no
 * hint but whether a server leaves.
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
import { acceptsWork } from "./estimate.ts";

/** Takes every pool in turn. */
export class RoundRobinPolicy implements PlacementPolicy {
  #nextDecode = 0;
  #nextPrefill = 0;

  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[] {
    const available = pool.filter(acceptsWork);
    const maxWaitMs = Math.max(0, req.deadlineMs - nowMs);
    const start = this.#nextDecode++;
    const count = Math.min(DECODE_PROBES, available.length);
    return Array.from({ length: count }, (_, i) => ({
      name: available[(start + i) % available.length]!.server.name,
      maxWaitMs,
    }));
  }

  prefillPlan(
    req: PlacementRequest,
    _grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined {
    const available = pool.filter(acceptsWork);
    if (available.length === 0) return undefined;
    const chosen = available[this.#nextPrefill++ % available.length]!;
    return {
      name: chosen.server.name,
      startInMs: 0,
      startWithinMs: Math.max(0, req.deadlineMs - nowMs),
      priority: 0,
    };
  }
}
