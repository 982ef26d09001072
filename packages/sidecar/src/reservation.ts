/** Reservations of a slot and memory at a backend server. */
import { RequestClass, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { OUTPUT_RESERVATION_FACTOR } from "./constants.ts";

/** State of a reservation. */
export enum ReservationState {
  Waiting = "waiting",
  Held = "held",
  Running = "running",
  Releasing = "releasing",
}

/** Request for a slot and memory. */
export interface ReservationRequest {
  id: string;
  requestClass: RequestClass;
  promptTokens: number;
  expectedTokens: number;
  maxTokens: number;
}

/** Granted reservation of a slot and memory. */
export interface Reservation {
  readonly id: string;
  readonly requestClass: RequestClass;
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly maxTokens: number;
  /** Sequence number of the grant. */
  readonly number: number;
  state: ReservationState;
  pieces: number;
  /** Tokens that earlier attempts produced; they count towards the context. */
  generatedTokens: number;
  producedTokens: number;
  /** Time at which the grant expires unless its attempt has started. */
  readonly expiresAtMs: number;
  /** Resolves when the reservation is no longer waiting. */
  readonly ready: Promise<void>;
  readonly setReady: () => void;
}

const CLASS_ORDER: Record<RequestClass, number> = {
  [RequestClass.Interactive]: 0,
  [RequestClass.Standard]: 1,
  [RequestClass.Batch]: 2,
};

/** Returns the number of memory pieces that `tokens` occupy. */
export function piecesForTokens(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/**
 * Returns the memory pieces to reserve for the prompt and the expected answer.
 */
export function piecesToReserve(req: ReservationRequest): number {
  const outputTokens = Math.max(
    1,
    Math.min(req.expectedTokens * OUTPUT_RESERVATION_FACTOR, req.maxTokens),
  );
  return piecesForTokens(req.promptTokens + Math.ceil(outputTokens));
}

/**
 * Compares by eviction order: lower request class first, then reservations that
 * aren't running, then the newest.
 */
export function compareForEviction(a: Reservation, b: Reservation): number {
  return CLASS_ORDER[b.requestClass] - CLASS_ORDER[a.requestClass] ||
    runningRank(a) - runningRank(b) || b.number - a.number;
}

function runningRank(reservation: Reservation): number {
  return reservation.state === ReservationState.Running ? 1 : 0;
}
