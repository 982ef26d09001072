/**
 * Preemptive scheduling on one server of rate 1 that may split its jobs at no
 * cost.
 */

/** Work that has to be done between its release time and its deadline. */
export interface Job {
  releaseMs: number;
  deadlineMs: number;
  workMs: number;
}

const BISECTION_STEPS = 12;

/**
 * Returns the largest sum of job fractions that the server can complete within
 * their windows. The fraction of each job is rounded up by at most
 * `2 ** -BISECTION_STEPS`. Accepting the shortest jobs first is optimal; see
 * `bound.ts`.
 */
export function maxJobSum(jobs: readonly Job[]): number {
  const accepted: Job[] = [];
  let total = 0;
  for (const job of [...jobs].sort((a, b) => a.workMs - b.workMs)) {
    const fraction = largestFraction(accepted, job);
    total += fraction.upper;
    if (fraction.lower <= 0) continue;
    insertByRelease(accepted, { ...job, workMs: job.workMs * fraction.lower });
  }
  return total;
}

/**
 * Lower and upper bound of the largest fraction of `job` that fits beside
 * `accepted`.
 */
function largestFraction(
  accepted: readonly Job[],
  job: Job,
): { lower: number; upper: number } {
  if (fits(accepted, job, 1)) return { lower: 1, upper: 1 };
  let lower = 0;
  let upper = 1;
  for (let i = 0; i < BISECTION_STEPS; i++) {
    const middle = (lower + upper) / 2;
    if (fits(accepted, job, middle)) lower = middle;
    else upper = middle;
  }
  return { lower, upper };
}

function fits(accepted: readonly Job[], job: Job, fraction: number): boolean {
  const jobs = [...accepted];
  insertByRelease(jobs, { ...job, workMs: job.workMs * fraction });
  return meetsAllDeadlines(jobs);
}

function insertByRelease(jobs: Job[], job: Job): void {
  let low = 0;
  let high = jobs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (jobs[middle]!.releaseMs <= job.releaseMs) low = middle + 1;
    else high = middle;
  }
  jobs.splice(low, 0, job);
}

/** Remaining work of a released job. */
interface PendingJob {
  deadlineMs: number;
  remainingMs: number;
}

/**
 * Preemptive earliest-deadline-first, which meets all deadlines if any schedule
 * does.
 */
function meetsAllDeadlines(jobs: readonly Job[]): boolean {
  const pending: PendingJob[] = [];
  let nowMs = 0;
  for (const [i, job] of jobs.entries()) {
    nowMs = Math.max(nowMs, job.releaseMs);
    insertByDeadline(pending, {
      deadlineMs: job.deadlineMs,
      remainingMs: job.workMs,
    });
    const untilMs = jobs[i + 1]?.releaseMs ?? Infinity;
    while (pending.length > 0 && nowMs < untilMs) {
      const first = pending[0]!;
      const spentMs = Math.min(first.remainingMs, untilMs - nowMs);
      nowMs += spentMs;
      first.remainingMs -= spentMs;
      if (nowMs > first.deadlineMs + 1e-6) return false;
      if (first.remainingMs > 1e-9) break;
      pending.shift();
    }
  }
  return true;
}

function insertByDeadline(pending: PendingJob[], item: PendingJob): void {
  let at = pending.length;
  while (at > 0 && pending[at - 1]!.deadlineMs > item.deadlineMs) at -= 1;
  pending.splice(at, 0, item);
}
