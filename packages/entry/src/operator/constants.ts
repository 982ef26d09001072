/** Numbers of the operators' API. */

/** Time that one proposal may take, in milliseconds. */
export const PROPOSE_TIMEOUT_MS = 15_000;

/** Time that one read of the audit trail may take, in milliseconds. */
export const HISTORY_TIMEOUT_MS = 15_000;
