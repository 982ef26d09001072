/** Reads the audit trail, newest entry first, from the log and the archive. */
import type { ObjectStore } from "@sassafrascleat/store";
import type { Change } from "./change.ts";
import {
  type HistoryQuery,
  type HistoryResult,
  LogReadStatus,
} from "./change_log_contract.ts";
import { DEFAULT_HISTORY_LIMIT, MAX_CLOCK_SKEW_MS } from "./constants.ts";
import { readTail } from "./log_tail.ts";
import type { SegmentStore } from "./segments.ts";

function matches(query: HistoryQuery, change: Change): boolean {
  const time = Date.parse(change.time);
  return (query.kind === undefined || change.kind === query.kind) &&
    (query.name === undefined || change.name === query.name) &&
    (query.before === undefined || change.sequence < query.before) &&
    (query.since === undefined || time >= Date.parse(query.since)) &&
    (query.until === undefined || time <= Date.parse(query.until));
}

/**
 * Returns whether every entry before `changes` is older than `query.since`,
 * even with the largest clock skew between daemons.
 */
function isOlderThanQuery(
  query: HistoryQuery,
  changes: readonly Change[],
): boolean {
  if (query.since === undefined) return false;
  const limit = Date.parse(query.since) - MAX_CLOCK_SKEW_MS;
  return changes.every((change) => Date.parse(change.time) < limit);
}

function selectMatching(
  query: HistoryQuery,
  changes: readonly Change[],
): Change[] {
  return changes.filter((change) => matches(query, change)).reverse();
}

/** Reads the entries that match `query`. */
export async function readHistory(
  store: ObjectStore,
  segments: SegmentStore,
  query: HistoryQuery,
  signal: AbortSignal,
): Promise<HistoryResult> {
  const limit = query.limit ?? DEFAULT_HISTORY_LIMIT;
  const tail = await readTail(store, signal);
  if (tail.status !== LogReadStatus.Ok) return tail;
  const found = selectMatching(query, tail.changes);
  const last = Math.min(tail.through, (query.before ?? Infinity) - 1);
  for (
    let segment = segments.segmentOf(last);
    segment >= 0 && found.length < limit;
    segment--
  ) {
    const changes = await segments.read(segment, signal);
    if (!changes) {
      const message = `archive segment ${segment} can't be read`;
      return { status: LogReadStatus.Unavailable, message };
    }
    found.push(...selectMatching(query, changes));
    if (isOlderThanQuery(query, changes)) break;
  }
  return { status: LogReadStatus.Ok, changes: found.slice(0, limit) };
}
