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
  firstStepMs: number;
  /** Longest wait for a slot at all but the last backend server asked. */
  firstSlotWaitMs: number;
  /** Longest wait for a slot of a request that is late already. */
  longestSlotWaitMs: number;
  /** Longest time that a free slot is held for a prefill. */
  longestSlotHoldMs: number;
  /** Queue before the prefill engines from which on requests are held back. */
  prefillQueueMs: number;
  /** The same for requests that are late, which only fill what is left over. */
  latePrefillQueueMs: number;
  /** Longest hold of a request that is late, so that it blocks no other. */
  longestLateHoldMs: number;
}

const GOODPUT_MARGINS: PolicyMargins = {
  earlyMs: 300,
  firstStepMs: 45,
  firstSlotWaitMs: 30,
  longestSlotWaitMs: 2_000,
  longestSlotHoldMs: 1_500,
  prefillQueueMs: 100,
  latePrefillQueueMs: 10,
  longestLateHoldMs: 20,
};

const WASTE_MARGINS: PolicyMargins = {
  earlyMs: 200,
  firstStepMs: 45,
  firstSlotWaitMs: 30,
  longestSlotWaitMs: 2_000,
  longestSlotHoldMs: 2_500,
  prefillQueueMs: 100,
  latePrefillQueueMs: 10,
  longestLateHoldMs: 20,
};

/** The margins of an objective. */
export function marginsOf(
  objective: `${PlacementObjective}`,
): PolicyMargins {
  return objective === PlacementObjective.Waste
    ? WASTE_MARGINS
    : GOODPUT_MARGINS;
}
