/** Numbers of this package, with their units. */

/** Backend servers of one pool that an entry asks. */
export const SUBSET_SIZE = 16;

/** Share of a subset that is kept for other availability zones. */
export const OTHER_ZONE_SHARE = 0.25;

/** Interval between two readings of the host list, in milliseconds. */
export const HOST_REFRESH_MS = 1_000;

/** Readings without a backend server after which it is dropped. */
export const DROP_AFTER_REFRESHES = 3;

/** Time in which a late reply of a sidecar may still arrive, in milliseconds. */
export const LATE_REPLY_MS = 2_000;

/** Time that "leaving" is remembered while the list says live, in milliseconds. */
export const LEAVING_MEMORY_MS = 30_000;

/** Time after which a pool that leaves as a whole is asked again, in milliseconds. */
export const RETURN_PROBE_MS = 2_500;

/** First exclusion after a failed call to a sidecar, in milliseconds. */
export const FAILURE_BACKOFF_MS = 500;

/** Longest exclusion after failed calls to a sidecar, in milliseconds. */
export const FAILURE_BACKOFF_MAX_MS = 15_000;

/** Former incarnations of a sidecar whose late replies are recognised. */
export const FORMER_INCARNATIONS = 4;

/** Time for an answer of the platform's host list, in milliseconds. */
export const HOST_LIST_TIMEOUT_MS = 2_000;

/** Fewest daemons of an availability zone that watch the store. */
export const HEADS_PER_ZONE = 2;

/** Daemons that long-poll one head before a zone gets another head. */
export const FOLLOWERS_PER_HEAD = 8;

/** Wait of a head's watch at the store, in milliseconds. */
export const STORE_WATCH_MS = 2_000;

/** Wait of a long poll at a relay head, in milliseconds. */
export const PULL_WAIT_MS = 2_000;

/** Silence beyond its wait after which a pull counts as lost, in milliseconds. */
export const PULL_GRACE_MS = 500;

/** Longest wait that a daemon grants to a pull, in milliseconds. */
export const PULL_WAIT_LIMIT_MS = 10_000;

/** Changes in one reply to a pull. */
export const PULL_CHANGE_LIMIT = 200;

/** Pulls that may wait at one daemon. */
export const WAITING_PULL_LIMIT = 500;

/** Pause between a reply with changes and the next pull, in milliseconds. */
export const PULL_PAUSE_MS = 50;

/** Pause between two store calls of a head, in milliseconds. */
export const STORE_PAUSE_MS = 100;

/** Silence beyond its wait after which a store watch counts as lost, in milliseconds. */
export const STORE_GRACE_MS = 1_000;

/** Time without any reply of a peer after which the store is asked, in milliseconds. */
export const SILENT_AFTER_MS = 4_000;

/** Time for which a peer that is behind is passed over, in milliseconds. */
export const BEHIND_MS = 2_000;

/** Mean delay of the first store call of a daemon that is no head, in milliseconds. */
export const FIRST_FALLBACK_MS = 2_000;

/** Daemons of a zone beyond which that first call is put off in proportion. */
export const FIRST_FALLBACK_PEERS = 8;

/** Interval at which the peer source is read, in milliseconds. */
export const PEER_REFRESH_MS = 2_000;

/** Interval at which a relay looks whether its part has changed, in milliseconds. */
export const ROLE_CHECK_MS = 250;

/** First exclusion of a peer after a lost pull, in milliseconds. */
export const SUSPECT_MS = 1_000;

/** Longest exclusion of a peer after lost pulls, in milliseconds. */
export const SUSPECT_MAX_MS = 15_000;

/** Age beyond which the last agreement with the store counts as old, in milliseconds. */
export const STALE_AFTER_MS = 10_000;

/** First pause of a head after a failed store call, in milliseconds. */
export const STORE_RETRY_MS = 250;

/** Longest pause of a head after failed store calls, in milliseconds. */
export const STORE_RETRY_MAX_MS = 3_000;

/** Pause between store calls of a daemon whose peers are silent, in milliseconds. */
export const STORE_FALLBACK_MS = 5_000;

/** Pause between store calls of a daemon whose peers are all behind, in milliseconds. */
export const STORE_FALLBACK_STALE_MS = 30_000;

/** Pause between two surveys of the zone's peers after a start, in milliseconds. */
export const SURVEY_INTERVAL_MS = 3_000;

/** Peers asked at once in a survey. */
export const SURVEY_CONCURRENCY = 4;

/** Time for an answer of a peer in a survey, in milliseconds. */
export const SURVEY_TIMEOUT_MS = 800;

/** Silence after which a daemon is left out of the status, in milliseconds. */
export const MEMBER_TTL_MS = 10_000;

/** Daemons that one relay keeps reports of. */
export const MEMBER_LIMIT = 2_000;

/** Reports of other daemons in one pull. */
export const FORWARDED_REPORT_LIMIT = 16;

/** Shortest interval between two presence writes of a head, in milliseconds. */
export const PRESENCE_WRITE_MS = 1_000;

/** Longest interval between two presence writes of a head, in milliseconds. */
export const PRESENCE_KEEPALIVE_MS = 10_000;

/** Interval at which a daemon reads the presence of its zone, in milliseconds. */
export const PRESENCE_READ_MS = 30_000;

/** Time without a write after which a presence object is dropped, in milliseconds. */
export const PRESENCE_TTL_MS = 45_000;

/** Key prefix of presence objects in the store. */
export const PRESENCE_PREFIX = "relay/";

/** Interval at which an order issuer looks for work, in milliseconds. */
export const ORDER_INTERVAL_MS = 1_000;

/** First pause before a failed order is sent again, in milliseconds. */
export const ORDER_RETRY_MS = 2_000;

/** Longest pause before a failed order is sent again, in milliseconds. */
export const ORDER_RETRY_MAX_MS = 60_000;

/** Time that an order without an answer counts as running, in milliseconds. */
export const ORDER_SILENCE_MS = 30_000;

/** Mean interval at which a finished order is checked, in milliseconds. */
export const ORDER_RECHECK_MS = 60_000;
