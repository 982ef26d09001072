/** Statuses of the responses that the gateway generates itself. */

/** The request failed and may have run. */
export const STATUS_BAD_GATEWAY = 502;
/** The customer is over its quota; the request did not run and never will. */
export const STATUS_TOO_MANY_REQUESTS = 429;
/** The request did not run and never will. */
export const STATUS_UNAVAILABLE = 503;
