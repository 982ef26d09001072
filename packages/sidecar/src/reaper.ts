/**
 * Cancels attempts that aren't renewed and grants that aren't started in time,
 * and removes ended attempts past their retention.
 */
import { BackendRole, RefusalReason } from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";
import {
  attemptId,
  type AttemptRecord,
  AttemptState,
  parseAttemptId,
} from "./attempt_ledger.ts";
import type { SidecarState } from "./sidecar_state.ts";
import type { PlainCalls } from "./plain_calls.ts";

const log = createLogger("sidecar:reaper");

/** Cancels lapsed attempts and expired grants; called at a short interval. */
export function endLapsedAttempts(state: SidecarState): void {
  const now = state.cfg.clock.now();
  for (const record of state.attempts.lapsed(now - state.cfg.renewGraceMs)) {
    if (isRunningCall(state, record)) continue;
    endLapsed(state, record, "not_renewed");
  }
  for (const reservation of state.capacity.expired(now)) {
    const record = state.attempts.find(parseAttemptId(reservation.id));
    if (record?.state === AttemptState.Reserved) {
      endLapsed(state, record, "grant_expired");
    }
  }
  state.capacity.promote();
}

/**
 * Removes attempts and answers past their retention; called at a long interval.
 */
export function forgetEndedAttempts(
  state: SidecarState,
  plain: PlainCalls | undefined,
): void {
  const now = state.cfg.clock.now();
  const running = (id: string) => plain?.running(id) ?? false;
  const forgotten = state.attempts.prune(now, running);
  plain?.forget(forgotten);
}

/**
 * Whether a plain call is running; it isn't cancelled, since its answer may be
 * fetched later.
 */
function isRunningCall(state: SidecarState, record: AttemptRecord): boolean {
  return state.role === BackendRole.Plain &&
    record.state === AttemptState.Running;
}

function endLapsed(
  state: SidecarState,
  record: AttemptRecord,
  cause: string,
): void {
  log("attempt_lapsed", { request: attemptId(record), cause });
  state.metrics.lapsed.inc({ cause });
  const now = state.cfg.clock.now();
  state.attempts.end(record, RefusalReason.GrantExpired, now);
}
