/**
 * The configuration that the gateway works by: routes, services and limits as
 * one immutable table. A newer table replaces the one in force as a whole; an
 * older one is ignored, so that a process never goes back.
 */

/** What a route's requests allow. */
export enum RouteKind {
  /** May run any number of times. */
  Safe = "safe",
  /** May run at most once for each request id. */
  Unsafe = "unsafe",
  /** Answered by a stream of events; at most once unless resumable. */
  Stream = "stream",
}

/** A service that takes a share of a route's requests. */
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
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time to the answer, or to a stream's first event, in milliseconds. */
  targetLatencyMs: number;
  /** 0 is the most urgent. */
  priority: number;
  targets: readonly RouteTarget[];
  /** Most backend servers that may run one request. */
  maxAttempts: number;
  /** An interrupted stream may go on from its last event. */
  resumable: boolean;
  /** Longest pause between two events that is still on time, in milliseconds. */
  maxEventGapMs: number;
}

/** Capacity of each engine of a service with separate prefill and decode. */
export interface EngineCapacity {
  /** Requests that run at once. */
  slots: number;
  /** Memory for prompts and generated tokens, in tokens. */
  kvTokens: number;
  /** Life of a prefill result that nobody takes, in milliseconds. */
  handleLifeMs: number;
  /** Time that a change of stage takes after the running work, in milliseconds. */
  stageSwitchMs: number;
  /** Longest reservation, in milliseconds; 0 when engines take none. */
  maxHoldMs: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
}

/** A group of interchangeable backend servers. */
export interface Service {
  name: string;
  /** Connections that one backend server takes from all callers together. */
  maxConnections: number;
  /** Absent for services without model engines. */
  engine?: EngineCapacity;
}

/** What a caller may send. */
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
  limits: CallerLimits;
}
