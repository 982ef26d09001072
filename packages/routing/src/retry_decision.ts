/**
 * Decides what follows a failed attempt. Only a failure after which the work
 * may be repeated leads to a retry; waits never reach past the deadline.
 */
import { RefusalReason, StreamFailure } from "@sassafrascleat/protocol";
import type { RetryBudget } from "./retry_budget.ts";

/** Failures that no sidecar names. */
export enum AttemptFailure {
  /** No candidate was left to ask. */
  NoCandidate = "no_candidate",
  /** The backend server's sidecar could not be reached. */
  Unreachable = "unreachable",
}

/** Why an attempt ended without its answer. */
export type FailureReason = RefusalReason | StreamFailure | AttemptFailure;

/** What to do next. */
export enum RetryAction {
  /** Try again after `afterMs`. */
  Retry = "retry",
  /** End the request: no retry can help or none is allowed. */
  GiveUp = "give_up",
}

/** Why the decision was taken, for logs and metrics. */
export enum RetryCause {
  Transient = "transient",
  Permanent = "permanent",
  NotRepeatable = "not_repeatable",
  AttemptsSpent = "attempts_spent",
  BudgetSpent = "budget_spent",
  NoTimeLeft = "no_time_left",
}

/** A failed attempt. */
export interface FailedAttempt {
  reason: FailureReason;
  /** The attempt that failed; the first is 1. */
  attempt: number;
  maxAttempts: number;
  /** Time to the deadline, in milliseconds. */
  remainingMs: number;
  /** Proved that nothing ran, or the work may be run again. */
  repeatable: boolean;
  /** What the sidecar asked to wait, in milliseconds. */
  retryAfterMs?: number;
}

/** The decision after a failed attempt. */
export interface RetryDecision {
  action: RetryAction;
  cause: RetryCause;
  /** Wait before the retry, in milliseconds. */
  afterMs: number;
}

const PERMANENT_FAILURES: ReadonlySet<FailureReason> = new Set<FailureReason>([
  RefusalReason.TooLarge,
  RefusalReason.Superseded,
  RefusalReason.Tombstoned,
  StreamFailure.Cancelled,
]);

/** Failures that name nobody's overload: another backend server may be asked at once. */
const IMMEDIATE_RETRY_FAILURES: ReadonlySet<FailureReason> = new Set<
  FailureReason
>([
  RefusalReason.Leaving,
  RefusalReason.WrongIncarnation,
  RefusalReason.EngineDown,
  StreamFailure.TransferFailed,
  StreamFailure.EngineLost,
  StreamFailure.NotFound,
  AttemptFailure.Unreachable,
]);

/** Decides on a retry; takes it out of `budget` when the decision is to retry. */
export function retryDecision(
  failed: FailedAttempt,
  budget: RetryBudget,
): RetryDecision {
  const giveUpReason = giveUpCause(failed);
  if (giveUpReason) return giveUp(giveUpReason);
  const afterMs = retryDelayMs(failed, budget);
  if (afterMs >= failed.remainingMs) return giveUp(RetryCause.NoTimeLeft);
  if (!budget.withdraw()) return giveUp(RetryCause.BudgetSpent);
  return { action: RetryAction.Retry, cause: RetryCause.Transient, afterMs };
}

function giveUpCause(failed: FailedAttempt): RetryCause | undefined {
  if (!failed.repeatable) return RetryCause.NotRepeatable;
  if (PERMANENT_FAILURES.has(failed.reason)) return RetryCause.Permanent;
  if (failed.attempt >= failed.maxAttempts) return RetryCause.AttemptsSpent;
  return undefined;
}

function retryDelayMs(failed: FailedAttempt, budget: RetryBudget): number {
  if (failed.attempt === 1 && IMMEDIATE_RETRY_FAILURES.has(failed.reason)) {
    return 0;
  }
  return Math.max(failed.retryAfterMs ?? 0, budget.backoffMs(failed.attempt));
}

function giveUp(cause: RetryCause): RetryDecision {
  return { action: RetryAction.GiveUp, cause, afterMs: 0 };
}
