/** Tunable limits of the gateway, from its settings. */

/** Options of the gateway's decisions. */
export interface GatewayPolicyOptions {
  /** Repeated calls for each request of a service. @default 0.2 */
  retryRatio?: number;
  /** Repeated calls a window beyond the ratio, over all entries. @default 10 */
  retrySlack?: number;
  /** Window of the retry allowance, in milliseconds. @default 10000 */
  retryWindowMs?: number;
  /** Entries taken to share the retry allowance until they are counted. @default 16 */
  entries?: number;
  /** Longest wait for memory of a decode engine, in milliseconds. @default 250 */
  maxRoomWaitMs?: number;
  /** Expected output for which memory is reserved, as a share. @default 0.2 */
  outputReserveRatio?: number;
  /**
   * Memory of a decode engine that a new generation leaves free, in answers of
   * usual length. @default 2.5
   */
  roomMarginAnswers?: number;
  /** Speed at which a prefill engine reads, in tokens a millisecond. @default 30 */
  readTokensPerMs?: number;
  /** Decode engines asked for room by one request. @default 8 */
  maxRoomAsks?: number;
}

export type GatewayPolicy = Required<GatewayPolicyOptions>;

/** Fills in the defaults. */
export function resolveGatewayPolicy(
  raw: GatewayPolicyOptions = {},
): GatewayPolicy {
  return {
    retryRatio: raw.retryRatio ?? 0.2,
    retrySlack: raw.retrySlack ?? 10,
    retryWindowMs: raw.retryWindowMs ?? 10_000,
    entries: raw.entries ?? 16,
    maxRoomWaitMs: raw.maxRoomWaitMs ?? 250,
    outputReserveRatio: raw.outputReserveRatio ?? 0.2,
    roomMarginAnswers: raw.roomMarginAnswers ?? 2.5,
    readTokensPerMs: raw.readTokensPerMs ?? 30,
    maxRoomAsks: raw.maxRoomAsks ?? 8,
  };
}
