/** Constants of this package, with their units. */

/** Maximum number of backend servers of one pool that a router process sends requests to. */
export const SUBSET_SIZE = 16;

/** Share of a subset that is reserved for other availability zones. */
export const OTHER_ZONE_SHARE = 0.25;

/** Mean interval between two reads of the host list, in milliseconds. */
export const HOST_REFRESH_MS = 1_000;

/** Consecutive reads of the host list without a backend server after which it is removed. */
export const DROP_AFTER_REFRESHES = 3;

/**
 * Time after a "leaving" report in which a contrary reply may be a delayed one,
 * in milliseconds.
 */
export const LATE_REPLY_WINDOW_MS = 2_000;

/**
 * Time after which a sidecar's "leaving" report expires if the host list says
 * live, in milliseconds.
 */
export const LEAVING_TTL_MS = 30_000;

/** Delay before a pool whose backend servers are all leaving is probed again, in milliseconds. */
export const RETURN_PROBE_DELAY_MS = 2_500;

/** Initial exclusion of a backend server after a failed call to its sidecar, in milliseconds. */
export const FAILURE_BACKOFF_MS = 500;

/** Maximum exclusion of a backend server after failed calls to its sidecar, in milliseconds. */
export const FAILURE_BACKOFF_MAX_MS = 15_000;

/** Number of previous incarnations of a sidecar whose delayed replies are recognised. */
export const FORMER_INCARNATION_LIMIT = 4;

/** Timeout of a request for the platform's host list, in milliseconds. */
export const HOST_LIST_TIMEOUT_MS = 2_000;

/** Minimum number of relay heads (daemons that watch the store) in an availability zone. */
export const MIN_HEADS_PER_ZONE = 2;

/** Number of daemons that long-poll one head before the zone gets another head. */
export const FOLLOWERS_PER_HEAD = 8;

/** Maximum wait of a head's watch request to the store, in milliseconds. */
export const STORE_WATCH_MS = 2_000;

/** Maximum wait of a long poll to a peer, in milliseconds. */
export const PULL_WAIT_MS = 2_000;

/**
 * Time without a reply, beyond the long-poll wait, after which a pull counts as
 * lost, in milliseconds.
 */
export const PULL_GRACE_MS = 500;

/** Maximum long-poll wait that a daemon grants to a caller, in milliseconds. */
export const PULL_WAIT_LIMIT_MS = 10_000;

/** Maximum number of changes in one reply to a pull. */
export const PULL_CHANGE_LIMIT = 200;

/** Maximum number of long polls that wait at one daemon. */
export const WAITING_PULL_LIMIT = 500;

/** Pause between a reply with changes and the next pull, in milliseconds. */
export const PULL_PAUSE_MS = 50;

/** Mean pause of a head between two store calls, in milliseconds. */
export const STORE_PAUSE_MS = 100;

/**
 * Time without an answer, beyond the requested wait, after which a store call
 * is aborted, in milliseconds.
 */
export const STORE_GRACE_MS = 1_000;

/** Time without a reply from any peer after which a daemon reads the store, in milliseconds. */
export const PEER_SILENCE_TIMEOUT_MS = 4_000;

/** Mean time for which a lagging peer is skipped, in milliseconds. */
export const LAGGING_PEER_SKIP_MS = 2_000;

/** Mean delay of the first store call of a daemon that is not a head, in milliseconds. */
export const FIRST_FALLBACK_DELAY_MS = 2_000;

/** Number of peers in the zone above which the delay of that first call grows in proportion. */
export const FIRST_FALLBACK_PEERS = 8;

/** Interval between two reads of the peer source, in milliseconds. */
export const PEER_REFRESH_MS = 2_000;

/** Interval at which a relay checks whether it is a head, in milliseconds. */
export const ROLE_CHECK_INTERVAL_MS = 250;

/** Initial exclusion of a peer after a lost pull, in milliseconds. */
export const PEER_BACKOFF_MS = 1_000;

/** Maximum exclusion of a peer after lost pulls, in milliseconds. */
export const PEER_BACKOFF_MAX_MS = 15_000;

/** Age above which the last confirmation by the store counts as stale, in milliseconds. */
export const STALE_AFTER_MS = 10_000;

/** Initial pause of a head after a failed store call, in milliseconds. */
export const STORE_RETRY_MS = 250;

/** Maximum pause of a head after failed store calls, in milliseconds. */
export const STORE_RETRY_MAX_MS = 3_000;

/**
 * Mean interval between store calls of a daemon that gets no reply from its
 * peers, in milliseconds.
 */
export const STORE_FALLBACK_INTERVAL_MS = 5_000;

/**
 * Mean interval between store calls of a daemon whose peers reply but do not
 * confirm its configuration, in milliseconds.
 */
export const STORE_FALLBACK_STALE_INTERVAL_MS = 30_000;

/** Mean pause between two surveys of the zone's peers after a start, in milliseconds. */
export const SURVEY_INTERVAL_MS = 3_000;

/** Number of peers that a survey queries concurrently. */
export const SURVEY_CONCURRENCY = 4;

/** Timeout of one query in a survey, in milliseconds. */
export const SURVEY_TIMEOUT_MS = 800;

/**
 * Age at which a daemon's last report expires and it no longer appears in the
 * status, in milliseconds.
 */
export const MEMBER_TTL_MS = 10_000;

/** Maximum number of daemons whose reports one relay stores. */
export const MEMBER_LIMIT = 2_000;

/** Maximum number of reports of other daemons in one pull. */
export const FORWARDED_REPORT_LIMIT = 16;

/** Mean interval between presence writes of a head while its reports change, in milliseconds. */
export const PRESENCE_WRITE_MS = 1_000;

/**
 * Time after which a head writes its presence again even if it has not changed,
 * and limit of the backoff after failed writes, in milliseconds.
 */
export const PRESENCE_KEEPALIVE_MS = 10_000;

/** Mean interval at which a daemon reads the presence objects of its zone, in milliseconds. */
export const PRESENCE_READ_MS = 30_000;

/** Time without a write after which a presence object is deleted, in milliseconds. */
export const PRESENCE_TTL_MS = 45_000;

/** Key prefix of presence objects in the store. */
export const PRESENCE_PREFIX = "relay/";

/** Interval at which an order issuer checks for due orders, in milliseconds. */
export const ORDER_INTERVAL_MS = 1_000;

/** Initial mean delay before a failed order is sent again, in milliseconds. */
export const ORDER_RETRY_MS = 2_000;

/** Maximum mean delay before a failed order is sent again, in milliseconds. */
export const ORDER_RETRY_MAX_MS = 60_000;

/** Time for which an unanswered order counts as running, in milliseconds. */
export const UNANSWERED_ORDER_TIMEOUT_MS = 30_000;

/** Mean interval between checks of a backend server whose orders are all done, in milliseconds. */
export const ORDER_RECHECK_MS = 60_000;
