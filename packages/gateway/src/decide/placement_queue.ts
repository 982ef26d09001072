/**
 * Orders the generations that wait for a decode engine. When the engines run
 * out of memory in a burst, waiting requests compete with new ones. A stream that
 * has begun goes before those that have not, since all that it has cost is lost
 * otherwise. Then a request that can still be on time goes before one that cannot,
 * the more urgent before the less urgent, and the one with the earlier deadline.
 */

/** A generation that waits for memory on a decode engine. */
export interface PendingPlacement {
  /** The stream has begun and continues after its last event. */
  resumed: boolean;
  /** 0 is the most urgent. */
  priority: number;
  /** Deadline for a placement that is on time, by the process clock. */
  onTimeDeadlineMs: number;
  /** The generation is not placed after this time, by the process clock. */
  expiresAtMs: number;
}

/** Returns the generation to place next; undefined if none waits. */
export function nextPending<T extends PendingPlacement>(
  waiting: Iterable<T>,
  nowMs: number,
): T | undefined {
  let best: T | undefined;
  for (const pending of waiting) {
    if (!best || precedes(pending, best, nowMs)) best = pending;
  }
  return best;
}

/**
 * Returns the generations to try, in order. A resumed one is confined to engines
 * of one software version, so the first of the others is tried as well.
 */
export function nextPendings<T extends PendingPlacement>(
  waiting: Iterable<T>,
  nowMs: number,
): T[] {
  const all = [...waiting];
  const first = nextPending(all, nowMs);
  if (!first?.resumed) return first ? [first] : [];
  const others = all.filter((pending) => !pending.resumed);
  const second = nextPending(others, nowMs);
  return second ? [first, second] : [first];
}

function precedes(
  a: PendingPlacement,
  b: PendingPlacement,
  nowMs: number,
): boolean {
  if (a.resumed !== b.resumed) return a.resumed;
  const aOnTime = a.onTimeDeadlineMs >= nowMs;
  const bOnTime = b.onTimeDeadlineMs >= nowMs;
  if (aOnTime !== bOnTime) return aOnTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.onTimeDeadlineMs < b.onTimeDeadlineMs;
}
