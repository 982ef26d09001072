/** Numbers of idempotency claims; every entry has to use the same partitions. */

/** Partitions that keys are spread over; each is a chain of stored objects. */
export const CLAIM_PARTITIONS = 8;

/** Prefix of the stored objects. */
export const CLAIM_KEY_PREFIX = "claims/";

/** Size at which a generation of claims is sealed, in bytes of JSON. */
export const SEAL_BYTES = 64_000;

/** Claims that are written together at most. */
export const MAX_BATCH_CLAIMS = 1_000;

/** Stored generations that are read at a time when a chain is loaded. */
export const CHAIN_PAGE = 20;

/** Sealed generations that one look for the head may pass. */
export const MAX_ADVANCES = 64;

/** Time beyond their retention that expired generations are kept, in milliseconds. */
export const PRUNE_MARGIN_MS = 3_600_000;

/** Largest answer that is kept with its claim, in bytes of JSON. */
export const MAX_KEPT_ANSWER_BYTES = 2_048;

/** Shortest time between two batches of one entry, in milliseconds. */
export const CLAIM_WRITE_INTERVAL_MS = 25;

/** Time for one batch of claims to become durable, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000;

/** Time for one call to the store, in milliseconds. */
export const CLAIM_STORE_CALL_MS = 700;

/** Pause before a contended partition is written again, in milliseconds. */
export const CLAIM_CONFLICT_PAUSE_MS = 4;

/** Longest time that a settled answer waits for a batch to travel with, in milliseconds. */
export const SETTLED_DELAY_MS = 10_000;

/** Interval at which settled answers that wait are looked for, in milliseconds. */
export const SETTLED_SWEEP_MS = 1_000;

/** Settled answers that one partition holds back for a later batch. */
export const MAX_SETTLED_WAITING = 256;

/** Time that a claim's first holder has before a second request may end its call, in milliseconds. */
export const SETTLE_AFTER_MS = 500;

/** Pause between questions about a call that has not started, in milliseconds. */
export const FOLLOW_PAUSE_MS = 50;

/** Age up to which a sidecar's ledger surely knows a claimed call, in milliseconds. */
export const PROVABLE_AGE_MS = 300_000;

/** Clock difference between entries beyond which a claim's age tells nothing, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 60_000;

/** Times that one request may take a claim over. */
export const MAX_TAKEOVERS = 4;

/** Longest idempotency key, in characters. */
export const MAX_IDEMPOTENCY_KEY_CHARS = 255;

/** Times a claim in a sealed generation is written against others. */
export const SEALED_WRITE_TRIES = 4;
