/** Sizes of the measured runs, and size of a claim's fingerprint. */

/** Daemons of the relay runs. */
export const RELAY_SIZES = [54, 108, 216];

/** Changes that the state probe applies; as many as a replica keeps. */
export const KEPT_CHANGES_SAMPLE = 4_096;

/** Bytes that an entry keeps for each claimed key. */
export const FINGERPRINT_BYTES = 8;
