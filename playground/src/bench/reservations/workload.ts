/** Requests, cluster size and scoring that both reservation schemes share. */
import { createRandom } from "@sassafrascleat/runtime";

export const DECODE_ENGINES = 6;
export const PREFILL_ENGINES = 6;
export const SLOTS = 20;
export const STEP_MS = 36;
/** Prompt tokens that a prefill engine computes per millisecond. */
export const PREFILL_TOKENS_PER_MS = 25;
/** Tokens whose KV data a link transfers per millisecond. */
export const LINK_TOKENS_PER_MS = 400;
/** Number of results that fit into a prefill engine's memory. */
export const RESULT_SLOTS = 4;
export const RESULT_LIFETIME_MS = 800;
export const FIRST_TOKEN_TARGET_MS = 570;
export const REQUEST_TIMEOUT_MS = 10_000;

/** One request. */
export interface Job {
  id: number;
  arrivedAtMs: number;
  promptTokens: number;
  outputTokens: number;
}

/**
 * Generates Poisson arrivals at `perSecond` on average; deterministic for a
 * `seed`.
 */
export function createJobs(
  seed: number,
  perSecond: number,
  durationMs: number,
): Job[] {
  const random = createRandom(seed);
  const jobs: Job[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    atMs += -Math.log(1 - random.float()) * 1000 / perSecond;
    jobs.push({
      id: jobs.length,
      arrivedAtMs: atMs,
      promptTokens: Math.round(200 * Math.exp(random.float() * 4)),
      outputTokens: random.int(40, 160),
    });
  }
  return jobs;
}

/** Results of a reservation scheme. */
export class Score {
  answered = 0;
  inTime = 0;
  timedOut = 0;
  computedTokens = 0;
  wastedTokens = 0;
  readonly firstTokenMs: number[] = [];

  /** Records that the first token of `job` was produced at `nowMs`. */
  started(job: Job, nowMs: number): void {
    const waitedMs = nowMs - job.arrivedAtMs;
    this.answered++;
    this.firstTokenMs.push(waitedMs);
    if (waitedMs <= FIRST_TOKEN_TARGET_MS) this.inTime++;
  }

  summary(offered: number) {
    const sorted = [...this.firstTokenMs].sort((a, b) => a - b);
    const p95 = sorted[Math.floor(sorted.length * 0.95)] ?? NaN;
    const share = (part: number, whole: number) =>
      Math.round(1000 * part / Math.max(1, whole)) / 1000;
    return {
      goodput: share(this.inTime, offered),
      answered: share(this.answered, offered),
      wastedPrefill: share(this.wastedTokens, this.computedTokens),
      p95FirstTokenMs: Math.round(p95),
    };
  }
}
