/**
 * Decides whether a request to a plain service is sent to another backend
 * server. One that is not safe to repeat is sent again only after proof that it
 * did not run. A safe one is retried after any failure and hedged: while its
 * first backend server is slow, another one gets it too.
 */

/** What has become of the sends of one request. */
export interface SendCounts {
  /** Sends that may have run the request: all but those proved not to have. */
  possibleExecutions: number;
  /** Sends that are proved not to have run the request. */
  unexecuted: number;
  /** One of the sends was a hedge. */
  hedged: boolean;
}

/** What a route says about sending its requests again. */
export interface RepeatRules {
  isSafe: boolean;
  /** Maximum number of backend servers that may run one request. */
  maxAttempts: number;
}

/** Maximum number of retries after sends that did not run the request. */
const MAX_UNEXECUTED = 3;
/** Share of the latency target after which a request is hedged. */
const HEDGE_DELAY_SHARE = 0.55;

/** Whether a request may be sent again after a send has failed. */
export function mayRetry(counts: SendCounts, rules: RepeatRules): boolean {
  if (counts.unexecuted > MAX_UNEXECUTED) return false;
  if (counts.possibleExecutions >= rules.maxAttempts) return false;
  return rules.isSafe || counts.possibleExecutions === 0;
}

/** Whether a request may be sent again while a send is in progress. */
export function mayHedge(counts: SendCounts, rules: RepeatRules): boolean {
  return rules.isSafe && !counts.hedged &&
    counts.possibleExecutions < rules.maxAttempts;
}

/** Time until a request that is `ageMs` old is hedged, in milliseconds. */
export function hedgeDelayMs(targetLatencyMs: number, ageMs: number): number {
  return Math.max(1, targetLatencyMs * HEDGE_DELAY_SHARE - ageMs);
}
