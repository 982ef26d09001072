/**
 * Orders the generations that wait for a decode engine. When the engines run
 * out of memory in a burst, waiting requests compete with new ones. A request
 * that can still be on time goes before one that cannot, then the more urgent
 * before the less urgent, then the one with the earlier deadline.
 */

/** A generation that waits for memory on a decode engine. */
export interface RoomWaiter {
  /** 0 is the most urgent. */
  priority: number;
  /** Deadline for a placement that is on time, by the process clock. */
  onTimeUntilMs: number;
  /** The generation is not placed after this time, by the process clock. */
  untilMs: number;
}

/** Returns the generation to place next; undefined if none waits. */
export function nextWaiter<T extends RoomWaiter>(
  waiters: Iterable<T>,
  nowMs: number,
): T | undefined {
  let best: T | undefined;
  for (const waiter of waiters) {
    if (!best || precedes(waiter, best, nowMs)) best = waiter;
  }
  return best;
}

function precedes(a: RoomWaiter, b: RoomWaiter, nowMs: number): boolean {
  const aOnTime = a.onTimeUntilMs >= nowMs;
  const bOnTime = b.onTimeUntilMs >= nowMs;
  if (aOnTime !== bOnTime) return aOnTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.onTimeUntilMs < b.onTimeUntilMs;
}
