/** Errors for callers: HTTP status, code, and whether the request may have run. */
import {
  type NotRun,
  NotRunReason,
  OutcomeKind,
  type Unknown,
  UnknownReason,
} from "@sassafrascleat/protocol";

/** The error that a caller gets when its request was not answered. */
export interface CallerError {
  status: number;
  type: string;
  code: string;
  message: string;
  outcome: OutcomeKind.NotRun | OutcomeKind.Unknown;
  retryAfterMs?: number;
}

/** The JSON body of an error. */
export interface ErrorBody {
  error: {
    message: string;
    type: string;
    code: string;
    outcome: string;
    request_id: string;
  };
}

/** Status for a caller that closed its connection, and so never receives it. */
const CLIENT_CLOSED_REQUEST_STATUS = 499;

const NOT_RUN_STATUS: Record<NotRunReason, number> = {
  [NotRunReason.InvalidRequest]: 400,
  [NotRunReason.NotAuthorized]: 401,
  [NotRunReason.UnknownService]: 404,
  [NotRunReason.IdempotencyConflict]: 409,
  [NotRunReason.RateLimited]: 429,
  [NotRunReason.QueueFull]: 503,
  [NotRunReason.DeadlineExceeded]: 504,
  [NotRunReason.NoCapacity]: 503,
  [NotRunReason.StoreUnavailable]: 503,
  [NotRunReason.Draining]: 503,
  [NotRunReason.Cancelled]: CLIENT_CLOSED_REQUEST_STATUS,
  [NotRunReason.BackendUnavailable]: 503,
};

const UNKNOWN_STATUS: Record<UnknownReason, number> = {
  [UnknownReason.SidecarRestarted]: 502,
  [UnknownReason.SidecarUnreachable]: 502,
  [UnknownReason.BackendFailed]: 502,
  [UnknownReason.StillRunning]: 504,
  [UnknownReason.AnswerExpired]: 502,
  [UnknownReason.CallerGone]: 499,
};

/** The `type` field of an error in the OpenAI format. */
function errorTypeOf(status: number): string {
  if (status === 401 || status === 403) return "authentication_error";
  if (status === 429) return "rate_limit_error";
  if (status < 500) return "invalid_request_error";
  return status === 503 ? "overloaded_error" : "server_error";
}

/** An error for a request that was refused before any of it ran. */
export function refusal(
  status: number,
  code: string,
  message: string,
): CallerError {
  const outcome = OutcomeKind.NotRun;
  return { status, type: errorTypeOf(status), code, message, outcome };
}

/** Converts an outcome without an answer to an error. */
export function callerErrorOf(outcome: NotRun | Unknown): CallerError {
  const status = outcome.kind === OutcomeKind.NotRun
    ? NOT_RUN_STATUS[outcome.reason]
    : UNKNOWN_STATUS[outcome.reason];
  return {
    status,
    type: errorTypeOf(status),
    code: outcome.reason,
    message: outcome.message,
    outcome: outcome.kind,
    retryAfterMs: outcome.kind === OutcomeKind.NotRun
      ? outcome.retryAfterMs
      : undefined,
  };
}

/** The JSON body of `err`. */
export function errorBody(err: CallerError, requestId: string): ErrorBody {
  const { message, type, code, outcome } = err;
  return { error: { message, type, code, outcome, request_id: requestId } };
}

/** The value of `Retry-After`, in whole seconds. */
export function retryAfterSeconds(err: CallerError): string | undefined {
  if (err.retryAfterMs === undefined) return undefined;
  return String(Math.max(1, Math.ceil(err.retryAfterMs / 1_000)));
}
