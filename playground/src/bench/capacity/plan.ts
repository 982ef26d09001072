/** The deployment size that the router is designed for, and assumptions. */

/** Deployment size that the users plan for. */
export const PLAN = {
  entries: 1_100,
  engines: 6_700,
  zones: 14,
  requestsPerS: 22_000,
  tokensPerS: 6_200_000,
  customers: 5_600,
  changesPerDay: 35_000,
  daemonsReplacedPerDay: 660,
} as const;

/** Budget of one daemon for control-plane work. */
export const DAEMON_BUDGET = {
  cpuMsPerS: 15,
  memoryMb: 64,
  bytesPerS: 2_000,
} as const;

/** Calls a second that the platform's object store accepts. */
export const STORE_LIMIT = { readsPerS: 2_000, writesPerS: 300 } as const;

/** Assumptions where the plan gives no figure; docs/CAPACITY.md lists each. */
export const ASSUMPTIONS = {
  /** Fraction of engines with the prefill role. */
  prefillShare: 1 / 3,
  /** Mean prompt length, in thousands of tokens. */
  promptKtokens: 3,
  /** Fraction of requests that carry an idempotency key. */
  keyedShare: 0.01,
  /** Decode pools to which the entries of one office send requests. */
  decodePools: 10,
  /**
   * Mean time between tokens, in seconds. Multiplied by the token rate, it
   * gives the number of concurrent streams.
   */
  tokenGapS: 0.043,
  /** Mean size of one claim within its stored object, in bytes. */
  claimBytes: 250,
} as const;

/** Mean rate of configuration changes, per second. */
export const CHANGES_PER_S = PLAN.changesPerDay / 86_400;
