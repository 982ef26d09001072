/** Placement policies. */
export {
  createPlacementPolicy,
  type PlacementPolicyOptions,
  PolicyName,
} from "./create_policy.ts";
export { PlacementObjective } from "./margins.ts";
