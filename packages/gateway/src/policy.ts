/** Tunable limits of the gateway, with their defaults. */

/** Limits for retries, reservations and placement. */
export interface GatewayPolicyOptions {
  /** Retry budget: retries allowed per request of a service. @default 0.2 */
  retryRatio?: number;
  /**
   * Retries allowed per window in addition to the ratio, summed over all router
   * instances. @default 10
   */
  retrySlack?: number;
  /** Window of the retry budget, in milliseconds. @default 10000 */
  retryWindowMs?: number;
  /** Assumed number of router instances until they are counted. @default 16 */
  entries?: number;
  /** Longest wait for a decode engine with free memory, in ms. @default 250 */
  maxReservationWaitMs?: number;
  /** Fraction of the expected output to reserve memory for. @default 0.5 */
  outputReserveRatio?: number;
  /**
   * Memory that must stay free on a decode engine after a new generation is
   * placed, in multiples of a typical response. @default 1.75
   */
  memoryMarginResponses?: number;
  /**
   * Prefill throughput of an engine until it was observed, in tokens per
   * millisecond. @default 30
   */
  prefillTokensPerMs?: number;
  /** Decode engines tried for a reservation per request. @default 8 */
  maxReservationAttempts?: number;
  /**
   * Whether load that can't be served in time is shed by estimates of the
   * engines' capacity. @default false
   */
  overloadControl?: boolean;
  /** Slow start of backend servers that start or return. @default false */
  pacing?: boolean;
}

export type GatewayPolicy = Required<GatewayPolicyOptions>;

/** Applies the defaults. */
export function resolveGatewayPolicy(
  raw: GatewayPolicyOptions = {},
): GatewayPolicy {
  return {
    retryRatio: raw.retryRatio ?? 0.2,
    retrySlack: raw.retrySlack ?? 10,
    retryWindowMs: raw.retryWindowMs ?? 10_000,
    entries: raw.entries ?? 16,
    maxReservationWaitMs: raw.maxReservationWaitMs ?? 250,
    outputReserveRatio: raw.outputReserveRatio ?? 0.5,
    memoryMarginResponses: raw.memoryMarginResponses ?? 1.75,
    prefillTokensPerMs: raw.prefillTokensPerMs ?? 30,
    maxReservationAttempts: raw.maxReservationAttempts ?? 8,
    overloadControl: raw.overloadControl ?? false,
    pacing: raw.pacing ?? false,
  };
}
