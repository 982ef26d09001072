/** The size that the project designs for, and what is assumed beside it. */

/** Sizes from the users' plan. */
export const PLAN = {
  entries: 1_100,
  engines: 6_700,
  zones: 14,
  requestsPerS: 22_000,
  tokensPerS: 6_200_000,
  customers: 5_600,
  changesPerDay: 35_000,
  replacedPerDay: 660,
} as const;

/** Budget of one daemon for control. */
export const BUDGET = {
  cpuMsPerS: 15,
  memoryMb: 64,
  bytesPerS: 2_000,
} as const;

/** Calls that the platform's store takes. */
export const STORE_LIMIT = { readsPerS: 2_000, writesPerS: 300 } as const;

/** What the plan leaves open; each is named on the page. */
export const ASSUMED = {
  /** Share of the engines that prefill. */
  prefillShare: 1 / 3,
  /** Mean prompt, in thousands of tokens. */
  promptKtokens: 3,
  /** Share of the requests that carry an idempotency key. */
  keyedShare: 0.01,
  /** Decode pools that the entries of one office send to. */
  decodePools: 10,
  /** Mean time between tokens, in seconds; gives the streams under way. */
  tokenGapS: 0.043,
  /** Mean bytes of one claim in its stored object. */
  claimBytes: 250,
} as const;

/** Changes of configuration in a second, on average. */
export const CHANGES_PER_S = PLAN.changesPerDay / 86_400;
