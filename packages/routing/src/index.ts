/**
 * Admission queueing, placement, rate limits and retry decisions. Nothing here
 * performs I/O; the time is passed in.
 */
export * from "./admission.ts";
export {
  type AdmissionQueueOptions,
  createAdmissionQueue,
} from "./admission_queue.ts";
export {
  createLoadHintTracker,
  type LoadHintTracker,
  type LoadHintTrackerOptions,
} from "./load_hint_tracker.ts";
export * from "./placement.ts";
export * from "./policy/index.ts";
export {
  Bottleneck,
  type PoolBalance,
  poolBalance,
  type PoolBalanceOptions,
} from "./pool_balance.ts";
export {
  createRateLimiter,
  type RateLimit,
  type RateLimiter,
  type RateLimiterOptions,
} from "./rate_limiter.ts";
export {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
} from "./retry_budget.ts";
export {
  AttemptFailure,
  type FailedAttempt,
  type FailureReason,
  RetryAction,
  RetryCause,
  type RetryDecision,
  retryDecision,
} from "./retry_decision.ts";
