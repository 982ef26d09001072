/** Messages for callers when it is unknown whether their call ran. */
import {
  type Unknown,
  unknownOutcome,
  UnknownReason,
} from "@sassafrascleat/protocol";

const DESCRIPTIONS: Record<UnknownReason, string> = {
  [UnknownReason.SidecarRestarted]:
    "the sidecar of the call was restarted; the call may have run",
  [UnknownReason.SidecarUnreachable]:
    "the sidecar of the call can't be reached; the call may have run",
  [UnknownReason.BackendFailed]:
    "the backend server failed during the call; the call may have run",
  [UnknownReason.StillRunning]:
    "the call is still running; ask again with the same idempotency key",
  [UnknownReason.AnswerExpired]:
    "the call's answer has expired; the call may have run",
  [UnknownReason.CallerGone]:
    "the caller disconnected during the call; the call may have run",
};

/** Returns the outcome `Unknown` with a message for the caller. */
export function unknownOutcomeFor(reason: UnknownReason): Unknown {
  return unknownOutcome(reason, DESCRIPTIONS[reason]);
}
