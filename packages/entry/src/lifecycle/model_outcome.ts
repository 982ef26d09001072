/** Outcomes and priorities of model requests. */
import {
  type FinishReason,
  type NotRun,
  NotRunReason,
  type Outcome,
  OutcomeKind,
  RequestClass,
  unknownOutcome,
  UnknownReason,
} from "@sassafrascleat/protocol";
import { invariant } from "@sassafrascleat/runtime";
import { AbortCause } from "./call.ts";

/** A whole answer; its tokens went to the sink. */
export interface ModelAnswer {
  finish: FinishReason;
  outputTokens: number;
}

/**
 * The outcome that a caller may be told: only a request that no engine has
 * worked for is called not run.
 */
export function honestOutcome<T>(
  outcome: Outcome<T>,
  mayHaveRun: boolean,
  signal: AbortSignal,
): Outcome<ModelAnswer> {
  invariant(outcome.kind !== OutcomeKind.Answered, "only failures are told");
  if (outcome.kind === OutcomeKind.Unknown || !mayHaveRun) return outcome;
  return unknownOutcome(
    reasonOf(outcome, signal),
    `the answer could not be finished: ${outcome.message}`,
  );
}

function reasonOf(outcome: NotRun, signal: AbortSignal): UnknownReason {
  if (signal.reason === AbortCause.Deadline) return UnknownReason.StillRunning;
  const gone = outcome.reason === NotRunReason.Cancelled;
  return gone ? UnknownReason.CallerGone : UnknownReason.BackendFailed;
}

/** Priority for the engine; larger is sooner. */
export function priorityOf(requestClass: RequestClass): number {
  if (requestClass === RequestClass.Interactive) return 2;
  return requestClass === RequestClass.Standard ? 1 : 0;
}
