/**
 * Outcomes as values. `NotRun` is a promise and needs proof: the call was never
 * dispatched, or a sidecar holds a tombstone for it and had not started it.
 * Everything that cannot be proved either way is `Unknown`.
 */

/** How a call ended, as far as the speaker can prove. */
export enum OutcomeKind {
  Answered = "answered",
  NotRun = "not_run",
  Unknown = "unknown",
}

/** Why a call was not run. */
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

/** Why nobody can tell whether a call ran. */
export enum UnknownReason {
  SidecarRestarted = "sidecar_restarted",
  SidecarUnreachable = "sidecar_unreachable",
  BackendFailed = "backend_failed",
  StillRunning = "still_running",
  AnswerExpired = "answer_expired",
  /** The caller hung up while its request was worked for. */
  CallerGone = "caller_gone",
}

/** The call was answered with `value`. */
export interface Answered<T> {
  kind: OutcomeKind.Answered;
  value: T;
}

/** The call was not run and never will be under this request id. */
export interface NotRun {
  kind: OutcomeKind.NotRun;
  reason: NotRunReason;
  message: string;
  /** When a new request may succeed, in milliseconds from now. */
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

/** Makes an `Answered` outcome. */
export function answered<T>(value: T): Answered<T> {
  return { kind: OutcomeKind.Answered, value };
}

/** Makes a `NotRun` outcome. */
export function notRun(
  reason: NotRunReason,
  message: string,
  retryAfterMs?: number,
): NotRun {
  return { kind: OutcomeKind.NotRun, reason, message, retryAfterMs };
}

/** Makes an `Unknown` outcome. */
export function unknownOutcome(
  reason: UnknownReason,
  message: string,
): Unknown {
  return { kind: OutcomeKind.Unknown, reason, message };
}
