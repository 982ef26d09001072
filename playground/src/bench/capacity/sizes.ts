/** Sizes of the measured runs and of one claim fingerprint. */

/** Number of daemons in each relay run. */
export const RELAY_SIZES = [54, 108, 216];

/** Changes that the state probe applies: as many as a replica retains. */
export const KEPT_CHANGES_SAMPLE = 4_096;

/** Bytes that an entry holds in memory for each claimed idempotency key. */
export const FINGERPRINT_BYTES = 8;
