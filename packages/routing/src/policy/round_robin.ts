/**
 * Baseline: decode and prefill servers in round-robin order, with the prefill
 * started at once. The only hint it uses is whether a server is draining.
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

/** Round robin over the decode pool and the prefill pool. */
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
