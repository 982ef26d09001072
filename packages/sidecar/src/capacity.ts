/**
 * The ledger of slots and memory pieces, which alone decides who may use the
 * engine. Places are `Waiting` in the order of their grants, then `Held`, then
 * `Running`; a `Releasing` place still occupies the engine until the engine
 * has confirmed its cancel. Pure but for the promise that a place is ready.
 */
import { RequestClass, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { GROWTH_LEAD_TOKENS, GROWTH_MARGIN, MIN_WAIT_MS } from "./constants.ts";

/** Where a place stands. */
export enum PlaceState {
  Waiting = "waiting",
  Held = "held",
  Running = "running",
  Releasing = "releasing",
}

/** What is asked for. */
export interface PlaceRequest {
  id: string;
  requestClass: RequestClass;
  promptTokens: number;
  expectedTokens: number;
  maxTokens: number;
}

/** A granted place. */
export interface Place {
  readonly id: string;
  readonly requestClass: RequestClass;
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly maxTokens: number;
  /** Order of the grants. */
  readonly number: number;
  state: PlaceState;
  pieces: number;
  /** Tokens that earlier attempts produced; they are part of the context. */
  generatedTokens: number;
  producedTokens: number;
  /** When the grant expires unless its attempt was started. */
  readonly expiresAtMs: number;
  /** Resolves when the place is no longer waiting. */
  readonly ready: Promise<void>;
  readonly setReady: () => void;
}

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

const CLASS_ORDER: Record<RequestClass, number> = {
  [RequestClass.Interactive]: 0,
  [RequestClass.Standard]: 1,
  [RequestClass.Batch]: 2,
};

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
   * Plays forward when running answers end and who takes their places; the
   * result is when `target`, or a new place of `pieces`, gets its turn.
   */
  #predict(pieces: number, target?: Place): number {
    const ends = this.#occupying().map((place) => ({
      atMs: Math.max(0, this.#cfg.remainingMs(place)),
      pieces: place.pieces,
    }));
    let freeSlots = this.#cfg.slots() - ends.length;
    let freePieces = this.freePieces;
    let nowMs = 0;
    const queue: (Place | undefined)[] = this.#waiting();
    if (!target) queue.push(undefined);
    for (const next of queue) {
      const wanted = next?.pieces ?? pieces;
      while (freeSlots <= 0 || freePieces < wanted) {
        ends.sort((a, b) => a.atMs - b.atMs);
        const end = ends.shift();
        if (!end) return Infinity;
        nowMs = Math.max(nowMs, end.atMs, MIN_WAIT_MS);
        freeSlots++;
        freePieces += end.pieces;
      }
      if (next === target) return nowMs;
      freeSlots--;
      freePieces -= wanted;
      const lasts = next ? this.#cfg.remainingMs(next) : 0;
      ends.push({ atMs: nowMs + lasts, pieces: wanted });
    }
    return nowMs;
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

function piecesOf(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/** Pieces for the prompt and the growth that is expected of the answer. */
function piecesWanted(req: PlaceRequest): number {
  const growth = Math.max(
    1,
    Math.min(req.expectedTokens * GROWTH_MARGIN, req.maxTokens),
  );
  return piecesOf(req.promptTokens + Math.ceil(growth));
}

function compareVictims(a: Place, b: Place): number {
  return CLASS_ORDER[b.requestClass] - CLASS_ORDER[a.requestClass] ||
    startedRank(a) - startedRank(b) || b.number - a.number;
}

function startedRank(place: Place): number {
  return place.state === PlaceState.Running ? 1 : 0;
}
