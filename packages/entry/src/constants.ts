/** Constants of an entry, with units in their names. */

/** Times a control call is sent before its sidecar counts as unreachable. */
export const CONTROL_TRIES = 2;

/** Pause before a failed call is sent again or a broken stream is reconnected, in milliseconds. */
export const RECONNECT_DELAY_MS = 30;

/** Additional time to wait for a prefill answer after its expected end, in milliseconds. */
export const PREFILL_SLACK_MS = 1_000;

/** Maximum number of times that a prefill call is sent until it is answered. */
export const PREFILL_CALL_TRIES = 3;

/** Consecutive connections without any frame after which a decode engine counts as lost. */
export const MAX_SILENT_CONNECTIONS = 3;

/** Time until an idle sidecar client is closed, in milliseconds. */
export const CLIENT_IDLE_MS = 60_000;

/** Interval between checks for idle sidecar clients, in milliseconds. */
export const CLIENT_SWEEP_MS = 10_000;

/** Number of connections to one sidecar that its control calls share. */
export const CONTROL_CONNECTIONS = 8;

/** Time an idle connection to a sidecar stays open, in milliseconds. */
export const CONNECTION_IDLE_MS = 20_000;

/** Time after which an unacknowledged cancel is no longer repeated, in milliseconds. */
export const CANCEL_TIMEOUT_MS = 6_000;

/** First pause before a cancel is repeated, in milliseconds; doubles each time. */
export const CANCEL_RETRY_MS = 100;

/** Maximum number of concurrent reservations of one service's dispatcher. */
export const MAX_CONCURRENT_RESERVATIONS = 32;

/** Interval at which a dispatcher checks for expired and placeable requests, in milliseconds. */
export const DISPATCH_INTERVAL_MS = 20;

/** Minimum pause of a dispatcher after no backend server had a free slot, in milliseconds. */
export const MIN_POOL_FULL_PAUSE_MS = 5;

/** Maximum pause of a dispatcher after no backend server had a free slot, in milliseconds. */
export const MAX_POOL_FULL_PAUSE_MS = 200;

/** Pause before a prefill is planned again if no backend server was available, in milliseconds. */
export const PLAN_RETRY_MS = 10;

/** Maximum number of prefills that one attempt may start. */
export const MAX_PREFILL_TRIES = 4;

/** Lifetime that a prefill result needs to be transferred to another engine, in milliseconds. */
export const KV_TRANSFER_MARGIN_MS = 50;

/** Maximum body size of a caller's request, in bytes. */
export const MAX_BODY_BYTES = 2_097_152;

/** Maximum size of all headers of a caller's request, in bytes. */
export const MAX_HEADER_BYTES = 16_384;

/** Timeout for receiving a caller's whole request, in milliseconds. */
export const CALLER_REQUEST_TIMEOUT_MS = 30_000;

/** Timeout for receiving the headers of a caller's request, in milliseconds. */
export const CALLER_HEADERS_TIMEOUT_MS = 10_000;

/** Keep-alive timeout of a caller's idle connection, in milliseconds. */
export const CALLER_KEEP_ALIVE_MS = 75_000;

/** Time after which a caller that does not read its stream is disconnected, in milliseconds. */
export const CALLER_STALL_MS = 20_000;

/** Weight of the newest answer in the estimate of answer lengths. */
export const OUTPUT_ESTIMATE_WEIGHT = 0.05;

/** Customer name of calls without a known API key. */
export const ANONYMOUS_CUSTOMER = "anonymous";

/** Time that a plain call's connection may be silent before the answer is also requested on another one, in milliseconds. */
export const PLAIN_SILENCE_MS = 400;

/** Maximum time that one attach request waits for a lost answer, in milliseconds. */
export const ATTACH_WAIT_MS = 200;

/** Maximum pause between attach requests for a running call, in milliseconds. */
export const MAX_ATTACH_PAUSE_MS = 800;

/** Pause before a lost answer is requested again, in milliseconds. */
export const ATTACH_RETRY_MS = 100;

/** Time after a call's timeout during which a lost answer is still requested, in milliseconds. */
export const LOST_ANSWER_TIMEOUT_MS = 3_000;

/** `Retry-After` for a caller that should use another entry, in milliseconds. */
export const RETRY_ELSEWHERE_MS = 1_000;

/** Time after the start of a drain during which new requests are still accepted, in milliseconds. */
export const LAME_DUCK_MS = 1_000;

/** Prefill rate that is assumed for ordering waiting requests, in tokens per millisecond. */
export const ASSUMED_PREFILL_TOKENS_PER_MS = 20;

/** Assumed time to the first token in addition to the prefill, in milliseconds. */
export const ASSUMED_TTFT_OVERHEAD_MS = 100;

/** Time that a closing entry waits for its requests and cancels to end, in milliseconds. */
export const CLOSE_GRACE_MS = 1_000;

/** Number of random bytes in a request id. */
export const REQUEST_ID_BYTES = 16;

/** Longest delay that `setTimeout` supports, in milliseconds. */
export const MAX_TIMER_MS = 2_147_483_647;

/** Age at which a load hint that keeps requests waiting is requested again, in milliseconds. */
export const HINT_STALE_MS = 200;

/** Maximum number of backend servers of one pool that are asked whether they accept work again. */
export const MAX_HINT_REFRESHES = 16;
