/**
 * Determines which of the two pools of a service limits it. Prefill pressure is
 * the queueing time for prefill divided by the first-token target; decode
 * pressure is the share of slots in use. The pool with the higher pressure is
 * the bottleneck once that pressure reaches a threshold.
 */
import { ASSUMED_SLOTS } from "./constants.ts";
import type { BackendState } from "./placement.ts";
import { acceptsWork, freeSlots, prefillQueueMs } from "./policy/estimate.ts";

/** The pool that limits a service. */
export enum Bottleneck {
  None = "none",
  Prefill = "prefill",
  Decode = "decode",
}

/** The load of the prefill and decode pools of one service. */
export interface PoolBalance {
  bottleneck: Bottleneck;
  /** Mean queueing time for prefill, in milliseconds. */
  prefillQueueMs: number;
  /** Queueing time for prefill divided by the first-token target. */
  prefillPressure: number;
  /** Estimated number of slots in use. */
  slotsTaken: number;
  /** Total number of slots. */
  slots: number;
  /** Estimated share of the slots in use. */
  decodePressure: number;
}

/** Options of `poolBalance`. */
export interface PoolBalanceOptions {
  /** Target time to the first token, in milliseconds. */
  ttftTargetMs: number;
  /** Pressure from which a pool can be the bottleneck. @default 0.85 */
  threshold?: number;
}

/** Compares the pools by their load hints, corrected for work sent since. */
export function poolBalance(
  prefill: readonly BackendState[],
  decode: readonly BackendState[],
  options: PoolBalanceOptions,
): PoolBalance {
  const queueMs = meanPrefillQueueMs(prefill.filter(acceptsWork));
  const { slots, slotsTaken } = countSlots(decode.filter(acceptsWork));
  const prefillPressure = queueMs / options.ttftTargetMs;
  const decodePressure = slots === 0 ? 1 : slotsTaken / slots;
  return {
    bottleneck: bottleneckOf(
      prefillPressure,
      decodePressure,
      options.threshold ?? 0.85,
    ),
    prefillQueueMs: queueMs,
    prefillPressure,
    slotsTaken,
    slots,
    decodePressure,
  };
}

function meanPrefillQueueMs(pool: readonly BackendState[]): number {
  if (pool.length === 0) return Infinity;
  const sum = pool.reduce((total, state) => total + prefillQueueMs(state), 0);
  return sum / pool.length;
}

function countSlots(
  pool: readonly BackendState[],
): { slots: number; slotsTaken: number } {
  let slots = 0;
  let slotsTaken = 0;
  for (const state of pool) {
    const serverSlots = state.hint?.slots ?? ASSUMED_SLOTS;
    slots += serverSlots;
    slotsTaken += serverSlots - freeSlots(state);
  }
  return { slots, slotsTaken };
}

function bottleneckOf(
  prefillPressure: number,
  decodePressure: number,
  threshold: number,
): Bottleneck {
  if (Math.max(prefillPressure, decodePressure) < threshold) {
    return Bottleneck.None;
  }
  return prefillPressure > decodePressure
    ? Bottleneck.Prefill
    : Bottleneck.Decode;
}
