/** The margins of the just-in-time policy, by what an operator puts first. */

/** What a policy puts first when the two measures pull apart. */
export enum PlacementObjective {
  /** Most requests within both latency targets. */
  Goodput = "goodput",
  /** Least prefill work whose result nobody receives. */
  Waste = "waste",
}

/** Times in milliseconds by which predictions are widened or narrowed. */
export interface PolicyMargins {
  /** How long before the slot the prefill result should be ready. */
  earlyMs: number;
  /** Time of the first decode step after the transfer. */
  firstDecodeStepMs: number;
  /** Longest wait for a slot at all but the last backend server asked. */
  maxEarlierProbeWaitMs: number;
  /** Longest wait for a slot of a request that is late already. */
  maxLateSlotWaitMs: number;
  /** Longest time that a free slot is held for a prefill. */
  maxSlotHoldMs: number;
  /** Queue before the prefill engines from which on requests are held back. */
  maxPrefillQueueMs: number;
  /** The same for requests that are late, which only fill what is left over. */
  maxLatePrefillQueueMs: number;
  /** Longest hold of a request that is late, so that it blocks no other. */
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

/** The margins of an objective. */
export function marginsOf(
  objective: `${PlacementObjective}`,
): PolicyMargins {
  return objective === PlacementObjective.Waste
    ? WASTE_MARGINS
    : GOODPUT_MARGINS;
}
