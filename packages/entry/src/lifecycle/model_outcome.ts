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

/** A complete answer, whose tokens were passed to the sink. */
export interface ModelAnswer {
  finish: FinishReason;
  outputTokens: number;
}

/**
 * Converts a failure to the outcome reported to the caller. `NotRun` becomes
 * `Unknown` if an engine may have worked on the request.
 */
export function outcomeForCaller<T>(
  outcome: Outcome<T>,
  mayHaveRun: boolean,
  signal: AbortSignal,
): Outcome<ModelAnswer> {
  invariant(
    outcome.kind !== OutcomeKind.Answered,
    "outcomeForCaller accepts failures only",
  );
  if (outcome.kind === OutcomeKind.Unknown || !mayHaveRun) return outcome;
  return unknownOutcome(
    unknownReason(outcome, signal),
    `the answer could not be completed: ${outcome.message}`,
  );
}

function unknownReason(outcome: NotRun, signal: AbortSignal): UnknownReason {
  if (signal.reason === AbortCause.Deadline) return UnknownReason.StillRunning;
  const cancelled = outcome.reason === NotRunReason.Cancelled;
  return cancelled ? UnknownReason.CallerGone : UnknownReason.BackendFailed;
}

/** Scheduling priority at the engine; larger values run sooner. */
export function priorityOf(requestClass: RequestClass): number {
  if (requestClass === RequestClass.Interactive) return 2;
  return requestClass === RequestClass.Standard ? 1 : 0;
}
