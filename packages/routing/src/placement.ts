/**
 * Interface between an entry, the process that accepts client requests, and its
 * placement policy. A policy receives a request, the states of the backend
 * servers and the current time, and returns which servers to ask for what. It
 * uses no clock, network or random source.
 */
import type {
  BackendServer,
  LoadHint,
  RequestClass,
} from "@sassafrascleat/protocol";

/** The properties of a request that placement uses. Timestamps are from the clock of the entry. */
export interface PlacementRequest {
  requestId: string;
  customer: string;
  requestClass: RequestClass;
  promptTokens: number;
  maxOutputTokens: number;
  expectedOutputTokens: number;
  /** Chained hashes of the leading pieces (KV cache blocks) of the prompt. */
  pieceHashes: string[];
  arrivedAtMs: number;
  /** When the first token is due according to the target in the policy. */
  firstTokenDueMs: number;
  /** When the request is abandoned. */
  deadlineMs: number;
  /** Target time between tokens, in milliseconds. */
  tbtTargetMs: number;
}

/** A backend server and the last load hint received from it. */
export interface BackendState {
  server: BackendServer;
  hint: LoadHint | undefined;
  hintAgeMs: number;
  /** Requests that this entry sent to the server since the hint. */
  requestsSentSinceHint: number;
  /** Prompt tokens that this entry sent to the server since the hint. */
  tokensSentSinceHint: number;
}

/** A decode backend server to ask for a slot, and the longest wait for that slot. */
export interface DecodeProbe {
  name: string;
  maxWaitMs: number;
}

/** Where and when to prefill. */
export interface PrefillPlan {
  name: string;
  /** Delay before the prefill starts, in milliseconds. */
  startInMs: number;
  /** The prefill is dropped if it cannot start within this time, in milliseconds. */
  startWithinMs: number;
  /** Larger values run first; at most `MAX_LATE_PRIORITY` when the target can't be met. */
  priority: number;
  /** Time until the prefill should be complete, in milliseconds. */
  dueInMs?: number;
  /** Prompt tokens expected to be computed, without cached ones. @default the prompt */
  expectedTokens?: number;
}

/** Whether the state of the prefill pool allows a request to be placed now. */
export interface PrefillForecast {
  /**
   * Delay before the request should be placed, in milliseconds; 0 for now. In
   * the meantime it stays in the admission queue of the entry, where other
   * requests can still overtake it.
   */
  holdMs: number;
  /** Prompt tokens expected to be computed, without cached ones. */
  expectedTokens: number;
}

/** The slot that a decode sidecar granted. */
export interface DecodeGrant {
  name: string;
  availabilityZone: string;
  readyInMs: number;
}

/** Chooses the backend servers for a request. */
export interface PlacementPolicy {
  /** Returns a few decode backend servers, in the order in which to ask them. */
  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[];
  /** Plans the prefill for a granted slot; undefined when none should be started now. */
  prefillPlan(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined;
  /**
   * Tells whether to place the request now; optional. `plannedTokens` is the
   * number of tokens of requests that are being placed and have not reached
   * their prefill server yet.
   */
  forecastPrefill?(
    req: PlacementRequest,
    pool: readonly BackendState[],
    plannedTokens: number,
    nowMs: number,
  ): PrefillForecast;
  /** Reports how many tokens the cache of a prefill server actually held; optional. */
  observePrefill?(
    req: PlacementRequest,
    name: string,
    cachedTokens: number,
  ): void;
}
