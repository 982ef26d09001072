/**
 * Outcomes of calls. `NotRun` guarantees that the call did not run and requires
 * proof: it was never dispatched, or a sidecar holds a tombstone for it and had
 * not started it. If neither a response nor such a proof exists, the outcome is
 * `Unknown`.
 */

/** Outcome of a call, as far as the process that reports it can prove. */
export enum OutcomeKind {
  Answered = "answered",
  NotRun = "not_run",
  Unknown = "unknown",
}

/** Reason why a call was not run. */
export enum NotRunReason {
  InvalidRequest = "invalid_request",
  NotAuthorized = "not_authorized",
  UnknownService = "unknown_service",
  IdempotencyConflict = "idempotency_conflict",
  RateLimited = "rate_limited",
  QueueFull = "queue_full",
  DeadlineExceeded = "deadline_exceeded",
  NoCapacity = "no_capacity",
  StoreUnavailable = "store_unavailable",
  Draining = "draining",
  Cancelled = "cancelled",
  BackendUnavailable = "backend_unavailable",
}

/** Reason why it is unknown whether a call ran. */
export enum UnknownReason {
  SidecarRestarted = "sidecar_restarted",
  SidecarUnreachable = "sidecar_unreachable",
  BackendFailed = "backend_failed",
  StillRunning = "still_running",
  AnswerExpired = "answer_expired",
  /** The caller disconnected while its request was in progress. */
  CallerGone = "caller_gone",
}

/** The call ran and returned `value`. */
export interface Answered<T> {
  kind: OutcomeKind.Answered;
  value: T;
}

/** The call did not run and never will under this request id. */
export interface NotRun {
  kind: OutcomeKind.NotRun;
  reason: NotRunReason;
  message: string;
  /** Time after which a new request may succeed, in milliseconds. */
  retryAfterMs?: number;
}

/** The call may have run. */
export interface Unknown {
  kind: OutcomeKind.Unknown;
  reason: UnknownReason;
  message: string;
}

/** The outcome of a call. */
export type Outcome<T> = Answered<T> | NotRun | Unknown;

export function answered<T>(value: T): Answered<T> {
  return { kind: OutcomeKind.Answered, value };
}

export function notRun(
  reason: NotRunReason,
  message: string,
  retryAfterMs?: number,
): NotRun {
  return { kind: OutcomeKind.NotRun, reason, message, retryAfterMs };
}

export function unknownOutcome(
  reason: UnknownReason,
  message: string,
): Unknown {
  return { kind: OutcomeKind.Unknown, reason, message };
}
