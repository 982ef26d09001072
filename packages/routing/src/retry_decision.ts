/**
 * Decides whether a failed attempt is retried. Only attempts whose work may be
 * repeated are retried, and never with a delay that reaches the deadline.
 */
import { RefusalReason, StreamFailure } from "@sassafrascleat/protocol";
import type { RetryBudget } from "./retry_budget.ts";

/** Failures that are detected without a reply of a sidecar. */
export enum AttemptFailure {
  /** No backend server was left to try. */
  NoCandidate = "no_candidate",
  /** The backend server's sidecar could not be reached. */
  Unreachable = "unreachable",
}

/** Why an attempt ended without an answer. */
export type FailureReason = RefusalReason | StreamFailure | AttemptFailure;

/** What to do next. */
export enum RetryAction {
  /** Retry after `delayMs`. */
  Retry = "retry",
  /** Fail the request: a retry cannot succeed or is not allowed. */
  GiveUp = "give_up",
}

/** The reason for a decision, for logs and metrics. */
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
  /** Number of the attempt that failed, starting at 1. */
  attempt: number;
  maxAttempts: number;
  /** Time left until the deadline, in milliseconds. */
  remainingMs: number;
  /** True if the work is proved not to have run, or may run more than once. */
  repeatable: boolean;
  /** Delay requested by the sidecar, in milliseconds. */
  retryAfterMs?: number;
}

/** The decision after a failed attempt. */
export interface RetryDecision {
  action: RetryAction;
  cause: RetryCause;
  /** Delay before the retry, in milliseconds. */
  delayMs: number;
}

const PERMANENT_FAILURES: ReadonlySet<FailureReason> = new Set<FailureReason>([
  RefusalReason.TooLarge,
  RefusalReason.Superseded,
  RefusalReason.Tombstoned,
  StreamFailure.Cancelled,
]);

/** Failures that do not indicate overload, so another backend server is tried without delay. */
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

/** Decides whether to retry; a retry is withdrawn from `budget`. */
export function retryDecision(
  failed: FailedAttempt,
  budget: RetryBudget,
): RetryDecision {
  const giveUpReason = giveUpCause(failed);
  if (giveUpReason) return giveUp(giveUpReason);
  const delayMs = retryDelayMs(failed, budget);
  if (delayMs >= failed.remainingMs) return giveUp(RetryCause.NoTimeLeft);
  if (!budget.withdraw()) return giveUp(RetryCause.BudgetSpent);
  return { action: RetryAction.Retry, cause: RetryCause.Transient, delayMs };
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
  return { action: RetryAction.GiveUp, cause, delayMs: 0 };
}
