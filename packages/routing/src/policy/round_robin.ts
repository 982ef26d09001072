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
import { takesWork } from "./estimate.ts";

/** Takes every pool in turn. */
export class RoundRobinPolicy implements PlacementPolicy {
  #decodeTurn = 0;
  #prefillTurn = 0;

  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[] {
    const able = pool.filter(takesWork);
    const maxWaitMs = Math.max(0, req.deadlineMs - nowMs);
    const start = this.#decodeTurn++;
    const count = Math.min(DECODE_PROBES, able.length);
    return Array.from({ length: count }, (_, i) => ({
      name: able[(start + i) % able.length]!.server.name,
      maxWaitMs,
    }));
  }

  prefillPlan(
    req: PlacementRequest,
    _grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined {
    const able = pool.filter(takesWork);
    if (able.length === 0) return undefined;
    const chosen = able[this.#prefillTurn++ % able.length]!;
    return {
      name: chosen.server.name,
      startInMs: 0,
      startWithinMs: Math.max(0, req.deadlineMs - nowMs),
      priority: 0,
    };
  }
}
