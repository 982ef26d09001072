/**
 * The sidecar process of a backend server: attempt and capacity ledgers, token
 * streams, draining and fencing of orders. The ledgers can be
 * used without the sidecar.
 */
export {
  AttemptLedger,
  type AttemptLedgerOptions,
  type AttemptRecord,
  AttemptState,
} from "./attempt_ledger.ts";
export {
  CapacityLedger,
  type CapacityOptions,
  type PlaceReply,
  PlaceResult,
} from "./capacity.ts";
export {
  type ResolvedSidecarOptions,
  resolveSidecarOptions,
  type SidecarOptions,
} from "./options.ts";
export { type Place, type PlaceRequest, PlaceState } from "./reservation.ts";
export { createSidecar, type Sidecar } from "./sidecar.ts";
export { StepModel } from "./step_model.ts";
