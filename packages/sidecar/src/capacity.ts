/**
 * Ledger of the slots and memory pieces of a backend server. It alone decides
 * which attempts may use the engine. A reservation is `Waiting`, in the order
 * of the grants, then `Held`, then `Running`. A `Releasing` one still occupies
 * the engine, until the engine has confirmed the cancel. The ledger has no side
 * effects except resolving the `ready` promise of reservations.
 */
import { MEMORY_LOOKAHEAD_TOKENS } from "./constants.ts";
import { type ExpectedEnd, predictWaitMs } from "./forecast.ts";
import {
  compareForEviction,
  piecesForTokens,
  piecesToReserve,
  type Reservation,
  type ReservationRequest,
  ReservationState,
} from "./reservation.ts";

/** Capacity of the backend server and predictions about it. */
export interface CapacityLedgerOptions {
  totalPieces(): number;
  slots(): number;
  /** Lifetime of a grant after the predicted start, in milliseconds. */
  grantTtlMs: number;
  /** Predicted time until the reservation is released, in milliseconds. */
  remainingMs(reservation: Reservation): number;
}

/** Result of a reservation request. */
export enum ReservationResult {
  Granted = "granted",
  Full = "full",
  TooLarge = "too_large",
}

export type ReservationReply =
  | {
    result: ReservationResult.Granted;
    reservation: Reservation;
    readyInMs: number;
  }
  | { result: ReservationResult.Full; retryAfterMs: number }
  | { result: ReservationResult.TooLarge };

/** Grants reservations of slots and memory pieces. */
export class CapacityLedger {
  readonly #cfg: CapacityLedgerOptions;
  readonly #reservations = new Map<string, Reservation>();
  #number = 0;

  constructor(cfg: CapacityLedgerOptions) {
    this.#cfg = cfg;
  }

  /** Number of reservations that occupy the engine. */
  get occupied(): number {
    return this.#occupying().length;
  }

  get running(): number {
    return this.#count(ReservationState.Running) +
      this.#count(ReservationState.Releasing);
  }

  get reserved(): number {
    return this.#count(ReservationState.Waiting) +
      this.#count(ReservationState.Held);
  }

  get freePieces(): number {
    let free = this.#cfg.totalPieces();
    for (const reservation of this.#occupying()) free -= reservation.pieces;
    return free;
  }

  find(id: string): Reservation | undefined {
    return this.#reservations.get(id);
  }

  /**
   * Grants a reservation if capacity is free or predicted to be within
   * `maxWaitMs`.
   */
  reserve(
    req: ReservationRequest,
    maxWaitMs: number,
    nowMs: number,
  ): ReservationReply {
    const pieces = piecesToReserve(req);
    if (pieces > this.#cfg.totalPieces()) {
      return { result: ReservationResult.TooLarge };
    }
    const readyInMs = this.#predictWaitMs(pieces);
    if (readyInMs > maxWaitMs) {
      return { result: ReservationResult.Full, retryAfterMs: readyInMs };
    }
    const expiresAtMs = nowMs + readyInMs + this.#cfg.grantTtlMs;
    const reservation = this.#create(req, pieces, expiresAtMs);
    this.promote();
    return { result: ReservationResult.Granted, reservation, readyInMs };
  }

  /** Predicts the wait of a granted reservation, in milliseconds. */
  readyInMs(reservation: Reservation): number {
    return reservation.state === ReservationState.Waiting
      ? this.#predictWaitMs(0, reservation)
      : 0;
  }

  /**
   * Records produced tokens and allocates the memory for them and the next
   * ones. It does so even if no memory is free, since the engine uses it
   * anyway; `deficit` then returns the number of pieces to free by eviction.
   */
  recordTokens(reservation: Reservation, produced: number): void {
    reservation.producedTokens += produced;
    const answer = reservation.generatedTokens + reservation.producedTokens;
    const lookaheadTokens = answer + MEMORY_LOOKAHEAD_TOKENS;
    const tokens = reservation.promptTokens +
      Math.min(lookaheadTokens, reservation.maxTokens);
    reservation.pieces = Math.max(reservation.pieces, piecesForTokens(tokens));
  }

  /**
   * Marks a held reservation as running, after `generated` tokens of its
   * answer.
   */
  startDecode(reservation: Reservation, generated: number): void {
    reservation.state = ReservationState.Running;
    reservation.generatedTokens = generated;
    this.recordTokens(reservation, 0);
  }

  /** Pieces in use beyond the total, not counting those being released. */
  get deficit(): number {
    let pieces = -this.freePieces;
    for (const reservation of this.#reservations.values()) {
      if (reservation.state === ReservationState.Releasing) {
        pieces -= reservation.pieces;
      }
    }
    return Math.max(0, pieces);
  }

  /**
   * Returns the reservation to evict when memory has run out: of the lowest
   * request class, and within it first one that isn't running, then the newest.
   */
  evictionCandidate(): Reservation | undefined {
    const candidates = this.#occupying()
      .filter((reservation) =>
        reservation.state !== ReservationState.Releasing
      );
    candidates.sort(compareForEviction);
    return candidates[0];
  }

  /** Releases a reservation and promotes waiting ones. */
  release(id: string): void {
    const reservation = this.#reservations.get(id);
    if (!reservation) return;
    this.#reservations.delete(id);
    reservation.setReady();
    this.promote();
  }

  /**
   * Assigns free slots to waiting reservations, strictly in the order of the
   * grants.
   */
  promote(): void {
    for (const reservation of this.#waiting()) {
      if (this.occupied >= this.#cfg.slots()) return;
      if (this.freePieces < reservation.pieces) return;
      reservation.state = ReservationState.Held;
      reservation.setReady();
    }
  }

  /** Returns the waiting and held reservations whose grants have expired. */
  expired(nowMs: number): Reservation[] {
    return [...this.#reservations.values()].filter((reservation) =>
      (reservation.state === ReservationState.Held ||
        reservation.state === ReservationState.Waiting) &&
      reservation.expiresAtMs < nowMs
    );
  }

  #create(
    req: ReservationRequest,
    pieces: number,
    expiresAtMs: number,
  ): Reservation {
    let setReady = () => {};
    const ready = new Promise<void>((resolve) => setReady = resolve);
    const reservation: Reservation = {
      id: req.id,
      requestClass: req.requestClass,
      promptTokens: req.promptTokens,
      expectedTokens: req.expectedTokens,
      maxTokens: req.maxTokens,
      number: this.#number++,
      state: ReservationState.Waiting,
      pieces,
      generatedTokens: 0,
      producedTokens: 0,
      expiresAtMs,
      ready,
      setReady,
    };
    this.#reservations.set(req.id, reservation);
    return reservation;
  }

  /**
   * Predicts the wait in milliseconds of `target`, or of a new reservation of
   * `pieces`, behind the reservations that wait before it.
   */
  #predictWaitMs(pieces: number, target?: Reservation): number {
    const ends: ExpectedEnd[] = this.#occupying()
      .map((reservation) => this.#expectedEnd(reservation, 0));
    const required = {
      slots: ends.length - this.#cfg.slots(),
      pieces: -this.freePieces,
    };
    for (const reservation of this.#waiting()) {
      required.slots++;
      required.pieces += reservation.pieces;
      const startsInMs = predictWaitMs(ends, required);
      if (reservation === target) return startsInMs;
      ends.push(this.#expectedEnd(reservation, startsInMs));
    }
    required.slots++;
    required.pieces += pieces;
    return predictWaitMs(ends, required);
  }

  #expectedEnd(reservation: Reservation, startsInMs: number): ExpectedEnd {
    const remainingMs = Math.max(0, this.#cfg.remainingMs(reservation));
    return { startsInMs, remainingMs, pieces: reservation.pieces };
  }

  #waiting(): Reservation[] {
    return [...this.#reservations.values()]
      .filter((reservation) => reservation.state === ReservationState.Waiting);
  }

  #occupying(): Reservation[] {
    return [...this.#reservations.values()]
      .filter((reservation) => reservation.state !== ReservationState.Waiting);
  }

  #count(state: ReservationState): number {
    let count = 0;
    for (const reservation of this.#reservations.values()) {
      if (reservation.state === state) count++;
    }
    return count;
  }
}
