/** Limits, intervals and sizes of the configuration log. */

/** Most accepted changes that a replica holds in memory for its peers. */
export const MAX_RECENT_CHANGES = 4_096;

/** Most accepted patch ids that a replica holds in memory. */
export const MAX_RECENT_PATCH_IDS = 4_096;

/** Digits of a zero-padded sequence number in a store key. */
export const SEQUENCE_DIGITS = 15;

/** Most objects returned by one list call. */
export const LIST_PAGE_SIZE = 500;

/** Attempts to write at the next sequence number before a proposal fails. */
export const MAX_PROPOSE_ATTEMPTS = 40;

/** First backoff after losing a race for a sequence number, in milliseconds. */
export const CONFLICT_BACKOFF_MS = 5;

/**
 * Longest backoff after losing a race for a sequence number, in milliseconds.
 */
export const CONFLICT_BACKOFF_MAX_MS = 200;

/** Longest time that one watch call waits for events, in milliseconds. */
export const WATCH_TIMEOUT_MS = 2_000;

/** First delay before a failed store call is retried, in milliseconds. */
export const RETRY_DELAY_MS = 1_000;

/**
 * Longest delay between retries while the store is unavailable, in
 * milliseconds.
 */
export const RETRY_DELAY_MAX_MS = 8_000;

/**
 * Most changes of the object that the reply to an outdated proposal includes.
 */
export const MAX_CHANGES_SINCE = 20;

/**
 * Delay between two watch calls, in milliseconds, so that one response covers a
 * burst.
 */
export const WATCH_BATCH_DELAY_MS = 100;

/** Number of changes after which a new snapshot is written. */
export const SNAPSHOT_INTERVAL_CHANGES = 200;

/** Largest piece of a snapshot or an archive segment, in bytes of JSON. */
export const MAX_PIECE_BYTES = 800_000;

/** Number of changes in one archive segment; part of the stored format. */
export const CHANGES_PER_SEGMENT = 500;

/** Number of newest changes that stay out of the archive. */
export const MIN_UNARCHIVED_CHANGES = 1_000;

/** Pause between two writes during compaction, in milliseconds. */
export const COMPACTION_PAUSE_MS = 10;

/**
 * Time for which a patch id is recognized after acceptance, in milliseconds.
 */
export const PATCH_ID_RETENTION_MS = 30 * 86_400_000;

/**
 * Largest tolerated difference between the wall clocks of two daemons, in
 * milliseconds.
 */
export const MAX_CLOCK_SKEW_MS = 3_600_000;

/** Number of changes in one history response if the caller sets no limit. */
export const DEFAULT_HISTORY_LIMIT = 100;

/** Largest configuration object, in bytes of JSON. */
export const MAX_OBJECT_BYTES = 400_000;
