/** Timeouts of the operators' API. */

/** Timeout for proposing a configuration change, in milliseconds. */
export const PROPOSE_TIMEOUT_MS = 15_000;

/** Timeout for reading the audit trail, in milliseconds. */
export const HISTORY_TIMEOUT_MS = 15_000;
