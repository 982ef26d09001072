/** What a caller is told when nobody can tell whether its call ran. */
import {
  type Unknown,
  unknownOutcome,
  UnknownReason,
} from "@sassafrascleat/protocol";

const DESCRIPTIONS: Record<UnknownReason, string> = {
  [UnknownReason.SidecarRestarted]:
    "the sidecar that held the call was restarted; the call may have run",
  [UnknownReason.SidecarUnreachable]:
    "the sidecar that holds the call can't be reached; the call may have run",
  [UnknownReason.BackendFailed]:
    "the backend server failed during the call; the call may have run",
  [UnknownReason.StillRunning]:
    "the call is still running; ask again with the same idempotency key",
  [UnknownReason.AnswerExpired]:
    "the call's answer is no longer kept; the call may have run",
  [UnknownReason.CallerGone]:
    "the caller hung up during the call; the call may have run",
};

/** The outcome `Unknown` with a text for the caller. */
export function describe(reason: UnknownReason): Unknown {
  return unknownOutcome(reason, DESCRIPTIONS[reason]);
}
