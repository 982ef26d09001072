/**
 * Orders the generations that wait for a decode engine. When the engines run
 * out of memory in a burst, waiting requests compete with new ones. A request
 * that can still be on time goes before one that cannot, then the more urgent
 * before the less urgent, then the one with the earlier deadline.
 */

/** A generation that waits for memory on a decode engine. */
export interface PendingPlacement {
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

function precedes(
  a: PendingPlacement,
  b: PendingPlacement,
  nowMs: number,
): boolean {
  const aOnTime = a.onTimeDeadlineMs >= nowMs;
  const bOnTime = b.onTimeDeadlineMs >= nowMs;
  if (aOnTime !== bOnTime) return aOnTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.onTimeDeadlineMs < b.onTimeDeadlineMs;
}
