/**
 * Ledger of the slots and memory pieces of a backend server. It alone decides
 * which attempts may use the engine. A reservation is `Waiting`, in the order of
 * the grants, then `Held`, then `Running`. A `Releasing` one still occupies the
 * engine, until the engine has confirmed the cancel. The ledger has no side
 * effects except resolving the `ready` promise of reservations.
 */
import { MEMORY_LOOKAHEAD_TOKENS } from "./constants.ts";
import { type ExpectedEnd, predictWaitMs } from "./forecast.ts";
import {
  compareForEviction,
  piecesForTokens,
  piecesToReserve,
  type Place,
  type PlaceRequest,
  PlaceState,
} from "./place.ts";

/** Capacity of the backend server and predictions about it. */
export interface CapacityOptions {
  totalPieces(): number;
  slots(): number;
  /** Lifetime of a grant after the predicted start, in milliseconds. */
  grantTtlMs: number;
  /** Predicted time until the reservation is released, in milliseconds. */
  remainingMs(place: Place): number;
}

/** Result of a reservation request. */
export enum PlaceResult {
  Granted = "granted",
  Full = "full",
  TooLarge = "too_large",
}

export type PlaceReply =
  | { result: PlaceResult.Granted; place: Place; readyInMs: number }
  | { result: PlaceResult.Full; retryAfterMs: number }
  | { result: PlaceResult.TooLarge };

/** Grants reservations of slots and memory pieces. */
export class CapacityLedger {
  readonly #cfg: CapacityOptions;
  readonly #places = new Map<string, Place>();
  #number = 0;

  constructor(cfg: CapacityOptions) {
    this.#cfg = cfg;
  }

  /** Number of reservations that occupy the engine. */
  get occupied(): number {
    return this.#occupying().length;
  }

  get running(): number {
    return this.#count(PlaceState.Running) + this.#count(PlaceState.Releasing);
  }

  get reserved(): number {
    return this.#count(PlaceState.Waiting) + this.#count(PlaceState.Held);
  }

  get freePieces(): number {
    let free = this.#cfg.totalPieces();
    for (const place of this.#occupying()) free -= place.pieces;
    return free;
  }

  find(id: string): Place | undefined {
    return this.#places.get(id);
  }

  /**
   * Grants a reservation if capacity is free or predicted to be within
   * `maxWaitMs`.
   */
  reserve(req: PlaceRequest, maxWaitMs: number, nowMs: number): PlaceReply {
    const pieces = piecesToReserve(req);
    if (pieces > this.#cfg.totalPieces()) {
      return { result: PlaceResult.TooLarge };
    }
    const readyInMs = this.#predictWaitMs(pieces);
    if (readyInMs > maxWaitMs) {
      return { result: PlaceResult.Full, retryAfterMs: readyInMs };
    }
    const expiresAtMs = nowMs + readyInMs + this.#cfg.grantTtlMs;
    const place = this.#create(req, pieces, expiresAtMs);
    this.promote();
    return { result: PlaceResult.Granted, place, readyInMs };
  }

  /** Predicts the wait of a granted reservation, in milliseconds. */
  readyInMs(place: Place): number {
    return place.state === PlaceState.Waiting
      ? this.#predictWaitMs(0, place)
      : 0;
  }

  /**
   * Records produced tokens and takes the memory for them and the next ones. It
   * does so even if no memory is free, since the engine uses it anyway; `deficit`
   * then gives the number of pieces to free by eviction.
   */
  recordTokens(place: Place, produced: number): void {
    place.producedTokens += produced;
    const answer = place.generatedTokens + place.producedTokens;
    const lookaheadTokens = answer + MEMORY_LOOKAHEAD_TOKENS;
    const tokens = place.promptTokens +
      Math.min(lookaheadTokens, place.maxTokens);
    place.pieces = Math.max(place.pieces, piecesForTokens(tokens));
  }

  /**
   * Marks a held reservation as running, after `generated` tokens of its
   * answer.
   */
  startDecode(place: Place, generated: number): void {
    place.state = PlaceState.Running;
    place.generatedTokens = generated;
    this.recordTokens(place, 0);
  }

  /** Pieces in use beyond the total, not counting those being released. */
  get deficit(): number {
    let pieces = -this.freePieces;
    for (const place of this.#places.values()) {
      if (place.state === PlaceState.Releasing) pieces -= place.pieces;
    }
    return Math.max(0, pieces);
  }

  /**
   * Returns the reservation to evict when memory has run out: of the lowest
   * request class, and within it first one that isn't running, then the newest.
   */
  evictionCandidate(): Place | undefined {
    const candidates = this.#occupying()
      .filter((place) => place.state !== PlaceState.Releasing);
    candidates.sort(compareForEviction);
    return candidates[0];
  }

  /** Releases a reservation and promotes waiting ones. */
  release(id: string): void {
    const place = this.#places.get(id);
    if (!place) return;
    this.#places.delete(id);
    place.setReady();
    this.promote();
  }

  /**
   * Assigns free slots to waiting reservations, strictly in the order of the
   * grants.
   */
  promote(): void {
    for (const place of this.#waiting()) {
      if (this.occupied >= this.#cfg.slots()) return;
      if (this.freePieces < place.pieces) return;
      place.state = PlaceState.Held;
      place.setReady();
    }
  }

  /** Returns the waiting and held reservations whose grants have expired. */
  expired(nowMs: number): Place[] {
    return [...this.#places.values()].filter((place) =>
      (place.state === PlaceState.Held ||
        place.state === PlaceState.Waiting) && place.expiresAtMs < nowMs
    );
  }

  #create(req: PlaceRequest, pieces: number, expiresAtMs: number): Place {
    let setReady = () => {};
    const ready = new Promise<void>((resolve) => setReady = resolve);
    const place: Place = {
      id: req.id,
      requestClass: req.requestClass,
      promptTokens: req.promptTokens,
      expectedTokens: req.expectedTokens,
      maxTokens: req.maxTokens,
      number: this.#number++,
      state: PlaceState.Waiting,
      pieces,
      generatedTokens: 0,
      producedTokens: 0,
      expiresAtMs,
      ready,
      setReady,
    };
    this.#places.set(req.id, place);
    return place;
  }

  /**
   * Predicts the wait in milliseconds of `target`, or of a new reservation of
   * `pieces`, behind the reservations that wait before it.
   */
  #predictWaitMs(pieces: number, target?: Place): number {
    const ends: ExpectedEnd[] = this.#occupying()
      .map((place) => this.#expectedEnd(place, 0));
    const required = {
      slots: ends.length - this.#cfg.slots(),
      pieces: -this.freePieces,
    };
    for (const place of this.#waiting()) {
      required.slots++;
      required.pieces += place.pieces;
      const startsInMs = predictWaitMs(ends, required);
      if (place === target) return startsInMs;
      ends.push(this.#expectedEnd(place, startsInMs));
    }
    required.slots++;
    required.pieces += pieces;
    return predictWaitMs(ends, required);
  }

  #expectedEnd(place: Place, startsInMs: number): ExpectedEnd {
    const remainingMs = Math.max(0, this.#cfg.remainingMs(place));
    return { startsInMs, remainingMs, pieces: place.pieces };
  }

  #waiting(): Place[] {
    return [...this.#places.values()]
      .filter((place) => place.state === PlaceState.Waiting);
  }

  #occupying(): Place[] {
    return [...this.#places.values()]
      .filter((place) => place.state !== PlaceState.Waiting);
  }

  #count(state: PlaceState): number {
    let count = 0;
    for (const place of this.#places.values()) {
      if (place.state === state) count++;
    }
    return count;
  }
}
