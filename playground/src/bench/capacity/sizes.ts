/** Sizes of the measured runs, and limits of the claim objects. */

/** Daemons of the relay runs. */
export const RELAY_SIZES = [54, 108, 216];

/** Changes that the state probe applies; as many as a replica keeps. */
export const KEPT_CHANGES_SAMPLE = 4_096;

/** Stored objects that idempotency claims are spread over. */
export const CLAIM_PARTITIONS = 256;

/** Bytes of claims that one stored object takes. */
export const CLAIM_PARTITION_BYTES = 900_000;
