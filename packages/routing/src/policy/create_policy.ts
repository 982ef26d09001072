/** Makes placement policies by name, so that a bench can compare them. */
import type { PlacementPolicy } from "../placement.ts";
import { JustInTimePolicy } from "./just_in_time.ts";
import { LeastLoadedPolicy } from "./least_loaded.ts";
import { marginsOf, type PlacementObjective } from "./margins.ts";
import { RoundRobinPolicy } from "./round_robin.ts";

/** The policies of this package. */
export enum PolicyName {
  /** Baseline: every pool in turn. */
  RoundRobin = "round_robin",
  /** Baseline: least loaded by hint, prefill at once. */
  LeastLoadedPrefillFirst = "least_loaded_prefill_first",
  /** Slot first, prefill timed for it. */
  JustInTime = "just_in_time",
}

/** Options of a placement policy. */
export interface PlacementPolicyOptions {
  /** What to put first when the two measures pull apart. @default "goodput" */
  objective?: `${PlacementObjective}`;
}

type PolicyFactory = (objective: `${PlacementObjective}`) => PlacementPolicy;

const FACTORIES: Record<`${PolicyName}`, PolicyFactory> = {
  [PolicyName.RoundRobin]: () => new RoundRobinPolicy(),
  [PolicyName.LeastLoadedPrefillFirst]: () => new LeastLoadedPolicy(),
  [PolicyName.JustInTime]: (objective) =>
    new JustInTimePolicy(marginsOf(objective)),
};

/** Creates a policy; it keeps bounded state of its own and reads no clock. */
export function createPlacementPolicy(
  name: `${PolicyName}`,
  options: PlacementPolicyOptions = {},
): PlacementPolicy {
  return FACTORIES[name](options.objective ?? "goodput");
}
