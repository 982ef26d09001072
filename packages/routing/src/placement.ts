/**
 * The placement contract between an entry and its policy. A policy is pure: it
 * sees a request, the states of the backend servers and the time, and returns
 * what to ask for. It never reads a clock, a socket or a random source.
 */
import type {
  BackendServer,
  LoadHint,
  RequestClass,
} from "@sassafrascleat/protocol";

/** What placement needs to know about a request. Times are of the entry's clock. */
export interface PlacementRequest {
  requestId: string;
  customer: string;
  requestClass: RequestClass;
  promptTokens: number;
  maxOutputTokens: number;
  expectedOutputTokens: number;
  /** Chained hashes of the prompt's leading memory pieces. */
  pieceHashes: string[];
  arrivedAtMs: number;
  /** When the first token is due by the policy's target. */
  firstTokenDueMs: number;
  /** When the request is given up. */
  deadlineMs: number;
  /** Target between tokens, in milliseconds. */
  tbtTargetMs: number;
}

/** A backend server and the last hint about it. */
export interface BackendState {
  server: BackendServer;
  hint: LoadHint | undefined;
  hintAgeMs: number;
  /** Requests that this entry sent there since the hint. */
  sentSinceHint: number;
  /** Prompt tokens that this entry sent there since the hint. */
  tokensSentSinceHint: number;
}

/** A decode backend server to ask, and how long its slot may be awaited. */
export interface DecodeProbe {
  name: string;
  maxWaitMs: number;
}

/** Where and when to prefill. */
export interface PrefillPlan {
  name: string;
  /** Time to wait before the work begins, in milliseconds. */
  startInMs: number;
  /** The work is dropped when it cannot begin within this time, in milliseconds. */
  startWithinMs: number;
  /** Larger is sooner; at most `LATE_PRIORITY` when the target can't be met. */
  priority: number;
  /** Time until the work should be done, in milliseconds. */
  dueInMs?: number;
  /** Prompt tokens expected to run, those cached left out. @default the prompt */
  expectedTokens?: number;
}

/** Whether a request should be placed now, by the state of its prefill pool. */
export interface PrefillOutlook {
  /**
   * Time until placing makes sense, in milliseconds; 0 is now. A request that
   * is held stays in the entry's queue, where others can still overtake it.
   */
  holdMs: number;
  /** Prompt tokens expected to run, those cached left out. */
  expectedTokens: number;
}

/** The slot that a decode sidecar granted. */
export interface DecodeGrant {
  name: string;
  availabilityZone: string;
  readyInMs: number;
}

/** Chooses backend servers for requests. */
export interface PlacementPolicy {
  /** Decode backend servers in the order to ask them; at most a few. */
  decodeProbes(
    req: PlacementRequest,
    pool: readonly BackendState[],
    nowMs: number,
  ): DecodeProbe[];
  /** The prefill for a granted slot; undefined when none should be started now. */
  prefillPlan(
    req: PlacementRequest,
    grant: DecodeGrant,
    pool: readonly BackendState[],
    nowMs: number,
  ): PrefillPlan | undefined;
  /**
   * Whether to place now; optional for a policy. `plannedTokens` are of requests
   * that are being placed and have not reached their prefill server yet.
   */
  outlook?(
    req: PlacementRequest,
    pool: readonly BackendState[],
    plannedTokens: number,
    nowMs: number,
  ): PrefillOutlook;
  /** Tells what a prefill server's cache really held; optional for a policy. */
  observePrefill?(
    req: PlacementRequest,
    name: string,
    cachedTokens: number,
  ): void;
}
