/**
 * Cancels attempts that nobody renews and grants that nobody starts, and
 * forgets ended attempts when their retention is over.
 */
import { BackendRole, RefusalReason } from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";
import {
  attemptId,
  type AttemptRecord,
  AttemptState,
  parseAttemptId,
} from "./attempt_ledger.ts";
import type { BackendState } from "./backend_state.ts";
import type { PlainCalls } from "./plain_calls.ts";

const log = createLogger("sidecar:reaper");

/** Ends what has lapsed; called at a short interval. */
export function reap(state: BackendState): void {
  const now = state.cfg.clock.now();
  for (const record of state.attempts.lapsed(now - state.cfg.renewGraceMs)) {
    if (isRunningCall(state, record)) continue;
    end(state, record, "not_renewed");
  }
  for (const place of state.capacity.expired(now)) {
    const record = state.attempts.find(parseAttemptId(place.id));
    if (record?.state === AttemptState.Reserved) {
      end(state, record, "grant_expired");
    }
  }
  state.capacity.promote();
}

/** Forgets what was kept for its retention; called at a long interval. */
export function prune(
  state: BackendState,
  plain: PlainCalls | undefined,
): void {
  const now = state.cfg.clock.now();
  const running = (id: string) => plain?.running(id) ?? false;
  const forgotten = state.attempts.prune(now, running);
  plain?.forget(forgotten);
}

/** A plain call that was handed over runs on: its answer may be asked for. */
function isRunningCall(state: BackendState, record: AttemptRecord): boolean {
  return state.role === BackendRole.Plain &&
    record.state === AttemptState.Running;
}

function end(state: BackendState, record: AttemptRecord, cause: string): void {
  log("attempt_lapsed", { request: attemptId(record), cause });
  state.metrics.lapsed.inc({ cause });
  const now = state.cfg.clock.now();
  state.attempts.end(record, RefusalReason.GrantExpired, now);
}
