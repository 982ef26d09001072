/** Creates placement policies by name, so that benchmarks can compare them. */
import type { PlacementPolicy } from "../placement.ts";
import { JustInTimePolicy } from "./just_in_time.ts";
import { LeastLoadedPolicy } from "./least_loaded.ts";
import { marginsOf, type PlacementObjective } from "./margins.ts";
import { RoundRobinPolicy } from "./round_robin.ts";

/** The policies of this package. */
export enum PolicyName {
  /** Baseline: round robin over both pools. */
  RoundRobin = "round_robin",
  /** Baseline: least loaded server according to the hints, prefill started at once. */
  LeastLoadedPrefillFirst = "least_loaded_prefill_first",
  /** Reserves a decode slot first and times the prefill to complete just before the slot is free. */
  JustInTime = "just_in_time",
}

/** Options of a placement policy. */
export interface PlacementPolicyOptions {
  /** The measure to favor when goodput and wasted work conflict. @default "goodput" */
  objective?: `${PlacementObjective}`;
}

type PolicyFactory = (objective: `${PlacementObjective}`) => PlacementPolicy;

const FACTORIES: Record<`${PolicyName}`, PolicyFactory> = {
  [PolicyName.RoundRobin]: () => new RoundRobinPolicy(),
  [PolicyName.LeastLoadedPrefillFirst]: () => new LeastLoadedPolicy(),
  [PolicyName.JustInTime]: (objective) =>
    new JustInTimePolicy(marginsOf(objective)),
};

/** Creates a policy. Its internal state is bounded, and it reads no clock. */
export function createPlacementPolicy(
  name: `${PolicyName}`,
  options: PlacementPolicyOptions = {},
): PlacementPolicy {
  return FACTORIES[name](options.objective ?? "goodput");
}
