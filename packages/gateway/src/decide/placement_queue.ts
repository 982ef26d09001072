/**
 * Orders the generations that wait for a decode engine. When the engines run
 * out of memory in a burst, waiting requests compete with new ones. A stream that
 * has begun goes before those that have not, since all that it has cost is lost
 * otherwise. Then a request that can still be on time goes before one that cannot,
 * the more urgent before the less urgent. Of equally urgent ones that of the
 * customer with the smaller share goes first (`fair_share.ts`), and of one customer
 * the one with the earlier deadline.
 */
import type { FairShare } from "./fair_share.ts";

/** A generation that waits for memory on a decode engine. */
export interface PendingPlacement {
  /** The stream has begun and continues after its last event. */
  resumed: boolean;
  /** 0 is the most urgent. */
  priority: number;
  /** Name of the customer; absent where requests belong to none. */
  customer?: string;
  /** Deadline for a placement that is on time, by the process clock. */
  onTimeDeadlineMs: number;
  /** The generation is not placed after this time, by the process clock. */
  expiresAtMs: number;
}

/** The order of customers, as `FairShare` tells it. */
export type CustomerRanks = Pick<FairShare, "rankOf">;

/**
 * Returns the generation to place next; undefined if none waits. Without
 * `ranks` customers are not distinguished.
 */
export function nextPending<T extends PendingPlacement>(
  waiting: Iterable<T>,
  nowMs: number,
  ranks?: CustomerRanks,
): T | undefined {
  let best: T | undefined;
  let bestRank = 0;
  for (const pending of waiting) {
    const rank = ranks?.rankOf(pending.customer, nowMs) ?? 0;
    if (best && !precedes(pending, best, nowMs, rank - bestRank)) continue;
    best = pending;
    bestRank = rank;
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
  ranks?: CustomerRanks,
): T[] {
  const all = [...waiting];
  const first = nextPending(all, nowMs, ranks);
  if (!first?.resumed) return first ? [first] : [];
  const others = all.filter((pending) => !pending.resumed);
  const second = nextPending(others, nowMs, ranks);
  return second ? [first, second] : [first];
}

/**
 * Returns the generations that will not have their turn in time if as many are
 * placed as lately. In a burst most of those that wait would wait in vain. The
 * first one is never returned, nor is a resumed one.
 */
export function unreachablePendings<T extends PendingPlacement>(
  waiting: Iterable<T>,
  nowMs: number,
  placementsPerMs: number,
  ranks?: CustomerRanks,
): T[] {
  const rankOf = ({ customer }: T) => ranks?.rankOf(customer, nowMs) ?? 0;
  const ranked = [...waiting].map((item) => ({ item, rank: rankOf(item) }));
  ranked.sort((a, b) =>
    precedes(a.item, b.item, nowMs, a.rank - b.rank) ? -1 : 1
  );
  return ranked
    .filter(({ item }, index) => {
      const turnMs = nowMs + (index + 1) / placementsPerMs;
      return index > 0 && !item.resumed && turnMs > item.expiresAtMs;
    })
    .map(({ item }) => item);
}

/** Whether `a` goes before `b`; `rank` is how much later its customer ranks. */
function precedes(
  a: PendingPlacement,
  b: PendingPlacement,
  nowMs: number,
  rank: number,
): boolean {
  if (a.resumed !== b.resumed) return a.resumed;
  const aOnTime = a.onTimeDeadlineMs >= nowMs;
  const bOnTime = b.onTimeDeadlineMs >= nowMs;
  if (aOnTime !== bOnTime) return aOnTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  if (rank !== 0) return rank < 0;
  return a.onTimeDeadlineMs < b.onTimeDeadlineMs;
}
