/** One machine of rate 1 that may split and interrupt its jobs at no cost. */

/** Work that has to be done inside a window. */
export interface Job {
  releaseMs: number;
  dueMs: number;
  workMs: number;
}

const BISECTION_STEPS = 12;

/**
 * The largest sum of job fractions that the machine can do within the windows,
 * rounded up to `2 ** -BISECTION_STEPS` of a job. Shortest jobs first: greedy
 * is optimal, see `bound.ts`.
 */
export function mostJobs(jobs: readonly Job[]): number {
  const accepted: Job[] = [];
  let total = 0;
  for (const job of [...jobs].sort((a, b) => a.workMs - b.workMs)) {
    const part = largestFraction(accepted, job);
    total += part.upper;
    if (part.lower <= 0) continue;
    insertByRelease(accepted, { ...job, workMs: job.workMs * part.lower });
  }
  return total;
}

/** The largest part of `job` that fits beside `accepted`, from both sides. */
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
  return allMeetDue(jobs);
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

/** Work of a released job that is left. */
interface OpenJob {
  dueMs: number;
  leftMs: number;
}

/** Earliest due first with interruption: it meets all due times if any order does. */
function allMeetDue(jobs: readonly Job[]): boolean {
  const open: OpenJob[] = [];
  let nowMs = 0;
  for (const [i, job] of jobs.entries()) {
    nowMs = Math.max(nowMs, job.releaseMs);
    insertByDue(open, { dueMs: job.dueMs, leftMs: job.workMs });
    const untilMs = jobs[i + 1]?.releaseMs ?? Infinity;
    while (open.length > 0 && nowMs < untilMs) {
      const first = open[0]!;
      const spentMs = Math.min(first.leftMs, untilMs - nowMs);
      nowMs += spentMs;
      first.leftMs -= spentMs;
      if (nowMs > first.dueMs + 1e-6) return false;
      if (first.leftMs > 1e-9) break;
      open.shift();
    }
  }
  return true;
}

function insertByDue(open: OpenJob[], item: OpenJob): void {
  let at = open.length;
  while (at > 0 && open[at - 1]!.dueMs > item.dueMs) at -= 1;
  open.splice(at, 0, item);
}
