/** Defaults and exit codes of the daemon. */

/** Exit statuses of `sassafrascleatd`. */
export enum ExitCode {
  Ok = 0,
  /** Start-up failed, for example because an address is in use. */
  StartFailed = 1,
  /** The command line or the settings file is wrong. */
  BadSettings = 2,
}

/** Address that listeners bind when the settings name none. */
export const DEFAULT_LISTEN_HOST = "127.0.0.1";

/** Maximum wait of a graceful stop for requests in flight, in milliseconds. */
export const DEFAULT_DRAIN_TIMEOUT_MS = 120_000;

/** Interval between two reads of the platform's host list, in milliseconds. */
export const DEFAULT_HOST_REFRESH_MS = 1_000;

/** Maximum number of backend servers per pool that an entry uses. */
export const DEFAULT_SUBSET_SIZE = 48;

/** Timeout of one control call to a sidecar, in milliseconds. */
export const CONTROL_CALL_TIMEOUT_MS = 1_000;

/** Maximum number of sidecars that a status call queries; others are listed. */
export const MAX_STATUS_CALLS = 64;

/** Timeout for collecting the relay status in a status call, in milliseconds. */
export const STATUS_TIMEOUT_MS = 2_000;
