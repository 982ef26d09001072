/**
 * Which waiting generation is placed next. Load pattern: memory of the decode
 * engines runs out in a burst, and what waits competes with what arrives. A
 * request that can still be on time goes before one that can't, the more urgent
 * before the less urgent, then the one whose time runs out first.
 */

/** A generation that waits for memory of a decode engine. */
export interface RoomWaiter {
  /** 0 is the most urgent. */
  priority: number;
  /** Until then it has to be placed to be on time. */
  onTimeUntilMs: number;
  /** It is not placed any more after this time. */
  untilMs: number;
}

/** The waiter to place next; undefined when none waits. */
export function nextWaiter<T extends RoomWaiter>(
  waiters: Iterable<T>,
  nowMs: number,
): T | undefined {
  let best: T | undefined;
  for (const waiter of waiters) {
    if (!best || goesBefore(waiter, best, nowMs)) best = waiter;
  }
  return best;
}

function goesBefore(a: RoomWaiter, b: RoomWaiter, nowMs: number): boolean {
  const aOnTime = a.onTimeUntilMs >= nowMs;
  const bOnTime = b.onTimeUntilMs >= nowMs;
  if (aOnTime !== bOnTime) return aOnTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.onTimeUntilMs < b.onTimeUntilMs;
}
