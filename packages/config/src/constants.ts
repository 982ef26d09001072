/** Numbers of the configuration log. */

/** Accepted changes that a replica keeps for peers. */
export const MAX_RECENT_CHANGES = 4_096;

/** Accepted patch ids that a replica keeps. */
export const MAX_RECENT_PATCH_IDS = 4_096;

/** Digits of a sequence number in a store key. */
export const SEQUENCE_DIGITS = 15;

/** Changes read with one list call. */
export const LIST_PAGE_SIZE = 500;

/** Tries to take a sequence number before a proposal is given up. */
export const MAX_PROPOSE_ATTEMPTS = 40;

/** First wait after a lost race for a sequence number, in milliseconds. */
export const CONFLICT_BACKOFF_MS = 5;

/** Longest wait after a lost race for a sequence number, in milliseconds. */
export const CONFLICT_BACKOFF_MAX_MS = 200;

/** Longest wait of one watch, in milliseconds. */
export const WATCH_TIMEOUT_MS = 2_000;

/** Wait after a failed call before the store is asked again, in milliseconds. */
export const RETRY_DELAY_MS = 1_000;

/** Longest wait between two tries while the store is out, in milliseconds. */
export const RETRY_DELAY_MAX_MS = 8_000;

/** Changes of one object that an outdated proposal is shown. */
export const MAX_CHANGES_SINCE = 20;

/** Shortest time between two watches, so that bursts come in one answer. */
export const WATCH_BATCH_DELAY_MS = 100;

/** Changes after which a new snapshot is written. */
export const SNAPSHOT_INTERVAL_CHANGES = 200;

/** Largest piece of a snapshot or an archive segment, in bytes of JSON. */
export const MAX_PIECE_BYTES = 800_000;

/** Changes of one archive segment; a part of the stored format. */
export const CHANGES_PER_SEGMENT = 500;

/** Newest changes that are never archived. */
export const MIN_UNARCHIVED_CHANGES = 1_000;

/** Pause between two writes of a compaction, in milliseconds. */
export const COMPACTION_PAUSE_MS = 10;

/** Time that a patch id is recognised after its acceptance, in milliseconds. */
export const PATCH_ID_RETENTION_MS = 30 * 86_400_000;

/** Difference allowed between the wall clocks of daemons, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 3_600_000;

/** Changes in one answer of the history when the caller names no limit. */
export const DEFAULT_HISTORY_LIMIT = 100;

/** Largest configuration object, in bytes of JSON. */
export const MAX_OBJECT_BYTES = 400_000;
