/** Numbers of an entry, with their units in the names. */

/** Times a control call is sent before its sidecar counts as unreachable. */
export const CONTROL_TRIES = 2;

/** Pause before a refused connection is dialled again, in milliseconds. */
export const REDIAL_PAUSE_MS = 30;

/** Time to wait for a prefill answer beyond its expected end, in milliseconds. */
export const PREFILL_SLACK_MS = 1_000;

/** Times a prefill call is sent again on a new connection. */
export const PREFILL_TRIES = 3;

/** Connections without a single frame after which a decode engine counts as lost. */
export const MAX_SILENT_DIALS = 3;

/** Time until an idle sidecar client is closed, in milliseconds. */
export const CLIENT_IDLE_MS = 60_000;

/** Interval at which idle sidecar clients are looked for, in milliseconds. */
export const CLIENT_SWEEP_MS = 10_000;

/** Connections to one sidecar that control calls share. */
export const CONTROL_CONNECTIONS = 8;

/** Time an idle connection to a sidecar stays open, in milliseconds. */
export const CONNECTION_IDLE_MS = 20_000;

/** Time over which a cancel is repeated until it is acknowledged, in milliseconds. */
export const CANCEL_GIVE_UP_MS = 6_000;

/** First pause before a cancel is repeated, in milliseconds; it doubles. */
export const CANCEL_RETRY_MS = 100;

/** Reservations that one service's dispatcher may have under way. */
export const MAX_PLACING = 32;

/** Interval at which a dispatcher looks for expired and placeable requests, in milliseconds. */
export const DISPATCH_TICK_MS = 20;

/** Shortest pause of a dispatcher after a full pool, in milliseconds. */
export const MIN_BLOCKED_MS = 5;

/** Longest pause of a dispatcher after a full pool, in milliseconds. */
export const MAX_BLOCKED_MS = 200;

/** Pause before a prefill plan is asked for again, in milliseconds. */
export const PLAN_RETRY_MS = 10;

/** Prefill backend servers that one attempt may try. */
export const MAX_PREFILL_TRIES = 4;

/** Share of a prefill result's lifetime that a handover to another engine may use. */
export const HANDOVER_MARGIN_MS = 50;

/** Largest body of a caller's request, in bytes. */
export const MAX_BODY_BYTES = 2_097_152;

/** Largest header block of a caller's request, in bytes. */
export const MAX_HEADER_BYTES = 16_384;

/** Time for a caller to send its whole request, in milliseconds. */
export const CALLER_REQUEST_TIMEOUT_MS = 30_000;

/** Time for a caller to send its headers, in milliseconds. */
export const CALLER_HEADERS_TIMEOUT_MS = 10_000;

/** Time an idle connection of a caller stays open, in milliseconds. */
export const CALLER_KEEP_ALIVE_MS = 75_000;

/** Time that a caller may leave its stream unread, in milliseconds. */
export const CALLER_STALL_MS = 20_000;

/** Weight of the newest answer in the estimate of answer lengths. */
export const OUTPUT_ESTIMATE_WEIGHT = 0.05;

/** Customer name of calls without a known API key. */
export const ANONYMOUS_CUSTOMER = "anonymous";

/** Silence after which a plain call's answer is also asked for elsewhere, in milliseconds. */
export const PLAIN_SILENCE_MS = 400;

/** Longest wait of one request for a lost answer, in milliseconds. */
export const ATTACH_WAIT_MS = 200;

/** Longest pause between questions about a call that runs, in milliseconds. */
export const MAX_ATTACH_PAUSE_MS = 800;

/** Pause before a lost answer is asked for again, in milliseconds. */
export const ATTACH_RETRY_MS = 100;

/** Time beyond a call's own limit in which a lost answer is asked for, in milliseconds. */
export const LOST_ANSWER_MS = 3_000;

/** Time after which a caller that is sent elsewhere may try again, in milliseconds. */
export const RETRY_ELSEWHERE_MS = 1_000;

/** Time after a drain begins in which new requests are still taken, in milliseconds. */
export const LAME_DUCK_MS = 1_000;

/** Prefill rate assumed for the order of waiting requests, in tokens a millisecond. */
export const ASSUMED_PREFILL_TOKENS_PER_MS = 20;

/** Time to the first token beside the prefill, in milliseconds. */
export const ASSUMED_SERVICE_MS = 100;

/** Time that a closing entry gives to its cancels, in milliseconds. */
export const CLOSE_GRACE_MS = 1_000;

/** Random bytes in a request id. */
export const REQUEST_ID_BYTES = 16;

/** Longest time that a timer takes, in milliseconds. */
export const MAX_TIMER_MS = 2_147_483_647;

/** Age from which a hint that holds requests back is asked for anew, in milliseconds. */
export const HINT_STALE_MS = 200;

/** Backend servers of one pool that are asked whether they take work again. */
export const MAX_REFRESHED = 16;
