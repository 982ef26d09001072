/** Time margins of the just-in-time policy, selected by the placement objective. */

/** The measure that a policy favors when goodput and wasted work conflict. */
export enum PlacementObjective {
  /** Maximize the requests that meet both latency targets. */
  Goodput = "goodput",
  /** Minimize prefill work whose result is never used. */
  Waste = "waste",
}

/** Time margins and limits of placement decisions, in milliseconds. */
export interface PolicyMargins {
  /** How long before the slot becomes free the prefill result should be ready. */
  earlyMs: number;
  /** Duration of the first decode step after the KV transfer. */
  firstDecodeStepMs: number;
  /** Longest wait for a slot at each backend server asked except the last. */
  maxEarlierProbeWaitMs: number;
  /** Longest wait for a slot for a request that can no longer meet its target. */
  maxLateSlotWaitMs: number;
  /** Longest time that a free slot is held while it waits for its prefill. */
  maxSlotHoldMs: number;
  /** Queueing time at the prefill engines above which requests are held in the admission queue. */
  maxPrefillQueueMs: number;
  /** The same limit for late requests, which only use spare prefill capacity. */
  maxLatePrefillQueueMs: number;
  /** Longest hold of a late request, so that it does not block others. */
  maxLateHoldMs: number;
}

const GOODPUT_MARGINS: PolicyMargins = {
  earlyMs: 300,
  firstDecodeStepMs: 45,
  maxEarlierProbeWaitMs: 30,
  maxLateSlotWaitMs: 2_000,
  maxSlotHoldMs: 1_500,
  maxPrefillQueueMs: 100,
  maxLatePrefillQueueMs: 10,
  maxLateHoldMs: 20,
};

const WASTE_MARGINS: PolicyMargins = {
  earlyMs: 200,
  firstDecodeStepMs: 45,
  maxEarlierProbeWaitMs: 30,
  maxLateSlotWaitMs: 2_000,
  maxSlotHoldMs: 2_500,
  maxPrefillQueueMs: 100,
  maxLatePrefillQueueMs: 10,
  maxLateHoldMs: 20,
};

/** Returns the margins for an objective. */
export function marginsOf(
  objective: `${PlacementObjective}`,
): PolicyMargins {
  return objective === PlacementObjective.Waste
    ? WASTE_MARGINS
    : GOODPUT_MARGINS;
}
