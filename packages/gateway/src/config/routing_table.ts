/**
 * The configuration of the gateway: routes, services and limits as one
 * immutable table. A newer table replaces the active one as a whole; an older
 * one is ignored, so that a process never returns to an earlier version.
 */

/** How often a route's requests may run, and how they are responded to. */
export enum RouteKind {
  /** May run any number of times. */
  Safe = "safe",
  /** May run at most once for each request id. */
  Unsafe = "unsafe",
  /** Answered by an event stream; runs at most once unless resumable. */
  Stream = "stream",
}

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** One route: which requests it matches and how they are handled. */
export interface Route {
  name: string;
  /** Host name without a port, in lower case. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a caller waits, in milliseconds. */
  timeoutMs: number;
  /** Targeted time to the response or a stream's first event, in ms. */
  targetLatencyMs: number;
  /** 0 is the most urgent. */
  priority: number;
  targets: readonly RouteTarget[];
  /** Maximum number of backend servers that may run one request. */
  maxAttempts: number;
  /** Whether an interrupted stream may continue after its last event. */
  resumable: boolean;
  /** Longest pause between two events that is still on time, in milliseconds. */
  maxEventGapMs: number;
  /** Whether requests need no API key. @default false */
  public?: boolean;
}

/** Capacity of each engine of a service with separate prefill and decode. */
export interface EngineCapacity {
  /** Requests that run at once. */
  slots: number;
  /** Memory for prompts and generated tokens, in tokens. */
  kvTokens: number;
  /** Lifetime of a prefill result that is never fetched, in milliseconds. */
  handleTtlMs: number;
  /**
   * Duration of a stage change after the running requests have ended, in
   * milliseconds.
   */
  stageSwitchMs: number;
  /** Longest reservation, in milliseconds; 0 if engines accept none. */
  maxHoldMs: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
}

/** A group of interchangeable backend servers. */
export interface Service {
  name: string;
  /** Connections that one backend server accepts from all routers together. */
  maxConnections: number;
  /** Absent for services without model engines. */
  engine?: EngineCapacity;
}

/** What a quota is counted in. */
export enum QuotaUnit {
  Requests = "requests",
  Tokens = "tokens",
}

/** Limit on what a customer's requests may cost, over all routers. */
export interface CustomerQuota {
  unit: QuotaUnit;
  /** Above 0. */
  perSecond: number;
  /** Allowed once beyond the rate. */
  burst: number;
  /** Cost of a request that declares no tokens; for a quota in tokens. */
  plainTokens: number;
}

/** An owner of API keys. */
export interface Customer {
  name: string;
  /** Different from all other keys of the configuration. */
  apiKeys: readonly string[];
  /** Overrides the priority of routes. */
  priority?: number;
  /** Absent: no limit. */
  quota?: CustomerQuota;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingTable {
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  /** Absent: no API key is required. */
  customers?: readonly Customer[];
  limits: CallerLimits;
}
