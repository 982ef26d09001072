/** Constants of idempotency claims; all entries must use the same partitions. */

/** Number of partitions of the keys; each is a chain of stored objects. */
export const CLAIM_PARTITIONS = 8;

/** Key prefix of the stored objects. */
export const CLAIM_KEY_PREFIX = "claims/";

/** Size at which a generation of claims is sealed, in bytes of JSON. */
export const SEAL_BYTES = 64_000;

/** Maximum number of claims in one batch. */
export const MAX_BATCH_CLAIMS = 1_000;

/** Generations that one list call returns while a chain is loaded. */
export const CHAIN_PAGE_SIZE = 20;

/** Maximum number of steps along the chain in one search for its head. */
export const MAX_HEAD_ADVANCES = 64;

/** Time that a generation is kept after its last claim expired, in milliseconds. */
export const PRUNE_MARGIN_MS = 3_600_000;

/** Maximum size of an answer that is stored with its claim, in bytes of JSON. */
export const MAX_STORED_ANSWER_BYTES = 2_048;

/** Minimum time between two batches of one entry, in milliseconds. */
export const CLAIM_WRITE_INTERVAL_MS = 25;

/** Timeout for writing one batch of claims, retries included, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000;

/** Timeout of one call to the store, in milliseconds. */
export const CLAIM_STORE_CALL_MS = 700;

/** Pause before a batch is retried after a conflict or an unknown result, in milliseconds. */
export const CLAIM_CONFLICT_PAUSE_MS = 4;

/** Maximum time that an answer waits to be written with a batch of claims, in milliseconds. */
export const MAX_SETTLED_DELAY_MS = 10_000;

/** Interval at which waiting answers are checked for their age, in milliseconds. */
export const SETTLED_FLUSH_INTERVAL_MS = 1_000;

/** Maximum number of answers that wait for a later batch, for each partition. */
export const MAX_PENDING_SETTLED = 256;

/** Time that the holder of a claim has to start its call before another request may prevent that with a tombstone, in milliseconds. */
export const SETTLE_AFTER_MS = 500;

/** Pause between attach requests for a call without an outcome, in milliseconds. */
export const FOLLOW_PAUSE_MS = 50;

/** Age up to which a sidecar's ledger is certain to have a record of a claimed call, in milliseconds. */
export const MAX_PROVABLE_AGE_MS = 300_000;

/** Clock difference between entries beyond which the age of a claim is not relied on, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 60_000;

/** Maximum number of attempts of one request; each after the first takes a claim over. */
export const MAX_CLAIM_ATTEMPTS = 4;

/** Maximum length of an idempotency key, in characters. */
export const MAX_IDEMPOTENCY_KEY_CHARS = 255;

/** Maximum number of attempts to write a claim to a sealed generation, against concurrent writers. */
export const SEALED_WRITE_TRIES = 4;
