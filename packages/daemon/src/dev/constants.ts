/** Constants of the `dev` role. */

/** Every listener of the demo binds loopback only. */
export const DEV_HOST = "127.0.0.1";

/** Interval between two reads of the demo's host list, in milliseconds. */
export const DEV_HOST_REFRESH_MS = 200;

/** Lag of the demo's host list behind the truth, in milliseconds. */
export const DEV_HOST_LIST_LAG_MS = 2_000;

/** Longest graceful stop of the demo, in milliseconds. */
export const DEV_DRAIN_TIMEOUT_MS = 10_000;

/** Longest wait for the first configuration to be in force, in milliseconds. */
export const DEV_CONFIG_TIMEOUT_MS = 10_000;

/** Interval between two looks at the sequences in force, in milliseconds. */
export const DEV_POLL_MS = 20;

/** Name of the demo's operator in the audit trail. */
export const DEV_OPERATOR_NAME = "dev-operator";

/** The demo's operator secret; the demo listens on loopback only. */
export const DEV_OPERATOR_SECRET = "dev-operator-secret";
