/**
 * The ledger of slots and memory pieces, which alone decides who may use the
 * engine. Places are `Waiting` in the order of their grants, then `Held`, then
 * `Running`; a `Releasing` place still occupies the engine until the engine
 * has confirmed its cancel. Pure but for the promise that a place is ready.
 */
import { GROWTH_LEAD_TOKENS } from "./constants.ts";
import { type ExpectedEnd, forecastMs } from "./forecast.ts";
import {
  compareVictims,
  piecesOf,
  piecesWanted,
  type Place,
  type PlaceRequest,
  PlaceState,
} from "./place.ts";

/** What the ledger needs to know about the backend server. */
export interface CapacityOptions {
  totalPieces(): number;
  slots(): number;
  /** Lifetime of a grant after its place is ready, in milliseconds. */
  grantTtlMs: number;
  /** Predicted time until the place is given back, in milliseconds. */
  remainingMs(place: Place): number;
}

/** Result of a request for a place. */
export enum PlaceResult {
  Granted = "granted",
  Full = "full",
  TooLarge = "too_large",
}

export type PlaceReply =
  | { result: PlaceResult.Granted; place: Place; readyInMs: number }
  | { result: PlaceResult.Full; retryAfterMs: number }
  | { result: PlaceResult.TooLarge };

/** Decides about slots and memory pieces. */
export class CapacityLedger {
  readonly #cfg: CapacityOptions;
  readonly #places = new Map<string, Place>();
  #number = 0;

  constructor(cfg: CapacityOptions) {
    this.#cfg = cfg;
  }

  /** Places that occupy the engine. */
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

  /** Grants a place that is free now or predicted within `maxWaitMs`. */
  reserve(req: PlaceRequest, maxWaitMs: number, nowMs: number): PlaceReply {
    const pieces = piecesWanted(req);
    if (pieces > this.#cfg.totalPieces()) {
      return { result: PlaceResult.TooLarge };
    }
    const readyInMs = this.#predict(pieces);
    if (readyInMs > maxWaitMs) {
      return { result: PlaceResult.Full, retryAfterMs: readyInMs };
    }
    const expiresAtMs = nowMs + readyInMs + this.#cfg.grantTtlMs;
    const place = this.#create(req, pieces, expiresAtMs);
    this.promote();
    return { result: PlaceResult.Granted, place, readyInMs };
  }

  /** Predicted wait of a granted place, in milliseconds. */
  readyInMs(place: Place): number {
    return place.state === PlaceState.Waiting ? this.#predict(0, place) : 0;
  }

  /**
   * Counts produced tokens and takes the memory that they are about to need,
   * even when none is free: the engine will use it anyway. `deficit` then tells
   * how many pieces have to be given up.
   */
  grow(place: Place, produced: number): void {
    place.producedTokens += produced;
    const answer = place.generatedTokens + place.producedTokens;
    const ahead = answer + GROWTH_LEAD_TOKENS;
    const tokens = place.promptTokens + Math.min(ahead, place.maxTokens);
    place.pieces = Math.max(place.pieces, piecesOf(tokens));
  }

  /** Takes a held place into use, after `generated` tokens of its answer. */
  begin(place: Place, generated: number): void {
    place.state = PlaceState.Running;
    place.generatedTokens = generated;
    this.grow(place, 0);
  }

  /** Pieces taken beyond the memory, those on their way back left out. */
  get deficit(): number {
    let pieces = -this.freePieces;
    for (const place of this.#places.values()) {
      if (place.state === PlaceState.Releasing) pieces -= place.pieces;
    }
    return Math.max(0, pieces);
  }

  /**
   * The place to give up when memory has run out: of the lowest class, not yet
   * started before started, youngest first.
   */
  victim(): Place | undefined {
    const candidates = this.#occupying()
      .filter((place) => place.state !== PlaceState.Releasing);
    candidates.sort(compareVictims);
    return candidates[0];
  }

  /** Gives a place back, and hands it on to those who wait. */
  release(id: string): void {
    const place = this.#places.get(id);
    if (!place) return;
    this.#places.delete(id);
    place.setReady();
    this.promote();
  }

  /** Hands free slots to waiting places, strictly in the order of grants. */
  promote(): void {
    for (const place of this.#waiting()) {
      if (this.occupied >= this.#cfg.slots()) return;
      if (this.freePieces < place.pieces) return;
      place.state = PlaceState.Held;
      place.setReady();
    }
  }

  /** Waiting and held places whose grants have expired. */
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
   * When `target`, or a new place of `pieces`, is expected to get its turn
   * after those who wait before it, in milliseconds.
   */
  #predict(pieces: number, target?: Place): number {
    const ends: ExpectedEnd[] = this.#occupying()
      .map((place) => this.#endOf(place, 0));
    const need = {
      slots: ends.length - this.#cfg.slots(),
      pieces: -this.freePieces,
    };
    for (const place of this.#waiting()) {
      need.slots++;
      need.pieces += place.pieces;
      const beginsInMs = forecastMs(ends, need);
      if (place === target) return beginsInMs;
      ends.push(this.#endOf(place, beginsInMs));
    }
    need.slots++;
    need.pieces += pieces;
    return forecastMs(ends, need);
  }

  #endOf(place: Place, beginsInMs: number): ExpectedEnd {
    const remainingMs = Math.max(0, this.#cfg.remainingMs(place));
    return { beginsInMs, remainingMs, pieces: place.pieces };
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
