/** Places at a backend server: what is asked for, granted and given up. */
import { RequestClass, TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { GROWTH_MARGIN } from "./constants.ts";

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

const CLASS_ORDER: Record<RequestClass, number> = {
  [RequestClass.Interactive]: 0,
  [RequestClass.Standard]: 1,
  [RequestClass.Batch]: 2,
};

/** Pieces that `tokens` occupy. */
export function piecesOf(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/** Pieces for the prompt and the growth that is expected of the answer. */
export function piecesWanted(req: PlaceRequest): number {
  const growth = Math.max(
    1,
    Math.min(req.expectedTokens * GROWTH_MARGIN, req.maxTokens),
  );
  return piecesOf(req.promptTokens + Math.ceil(growth));
}

/** Sorts the place to give up first to the front. */
export function compareVictims(a: Place, b: Place): number {
  return CLASS_ORDER[b.requestClass] - CLASS_ORDER[a.requestClass] ||
    startedRank(a) - startedRank(b) || b.number - a.number;
}

function startedRank(place: Place): number {
  return place.state === PlaceState.Running ? 1 : 0;
}
