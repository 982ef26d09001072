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
  type CapacityLedgerOptions,
  type ReservationReply,
  ReservationResult,
} from "./capacity.ts";
export {
  type ResolvedSidecarOptions,
  resolveSidecarOptions,
  type SidecarOptions,
} from "./options.ts";
export {
  type Reservation,
  type ReservationRequest,
  ReservationState,
} from "./reservation.ts";
export { createSidecar, type Sidecar } from "./sidecar.ts";
export { StepTimeModel } from "./step_model.ts";
