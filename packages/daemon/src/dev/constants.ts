/** Constants of the `dev` role. */

/** Every listener of the demo binds loopback only. */
export const DEV_HOST = "127.0.0.1";

/** Interval between two reads of the demo's host list, in milliseconds. */
export const DEV_HOST_REFRESH_MS = 200;

/** Delay until readers see a change of the demo's host list, in milliseconds. */
export const DEV_HOST_LIST_LAG_MS = 2_000;

/** Maximum duration of a graceful stop of the demo, in milliseconds. */
export const DEV_DRAIN_TIMEOUT_MS = 10_000;

/** Timeout for the initial configuration to be in force, in milliseconds. */
export const DEV_CONFIG_TIMEOUT_MS = 10_000;

/** Interval for polling the sequences in force, in milliseconds. */
export const DEV_POLL_MS = 20;

/** Name of the demo's operator in the audit trail. */
export const DEV_OPERATOR_NAME = "dev-operator";

/** The demo's operator secret, fixed since the demo listens on loopback only. */
export const DEV_OPERATOR_SECRET = "dev-operator-secret";
