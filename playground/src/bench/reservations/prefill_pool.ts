/**
 * Prefill engines that run one prompt at a time and store a limited number of
 * results.
 */
import {
  type Job,
  PREFILL_ENGINES,
  PREFILL_TOKENS_PER_MS,
  RESULT_SLOTS,
  type Score,
} from "./workload.ts";
import type { EventScheduler } from "./event_scheduler.ts";

interface Engine {
  freeAtMs: number;
  freeResultSlots: number;
  waiting: ((engine: number) => void)[];
}

/** Pool of serial prefill engines with a bounded number of result slots. */
export class PrefillPool {
  readonly #scheduler: EventScheduler;
  readonly #score: Score;
  readonly #engines: Engine[] = Array.from(
    { length: PREFILL_ENGINES },
    () => ({ freeAtMs: 0, freeResultSlots: RESULT_SLOTS, waiting: [] }),
  );

  constructor(scheduler: EventScheduler, score: Score) {
    this.#scheduler = scheduler;
    this.#score = score;
  }

  /** Queued work at the least loaded engine, in milliseconds. */
  get backlogMs(): number {
    const free = Math.min(...this.#engines.map((engine) => engine.freeAtMs));
    return Math.max(0, free - this.#scheduler.nowMs);
  }

  /**
   * Acquires a result slot, immediately or in FIFO order as slots are released.
   */
  acquire(onAcquired: (engine: number) => void): void {
    const best = this.#engines.reduce((a, b) =>
      engineLoad(b) < engineLoad(a) ? b : a
    );
    const index = this.#engines.indexOf(best);
    if (best.freeResultSlots === 0) {
      best.waiting.push(onAcquired);
      return;
    }
    best.freeResultSlots--;
    onAcquired(index);
  }

  release(index: number): void {
    const engine = this.#engines[index]!;
    const next = engine.waiting.shift();
    if (next) next(index);
    else engine.freeResultSlots++;
  }

  /** Runs a prompt whose result slot has been acquired. */
  run(index: number, job: Job, onDone: () => void): void {
    const engine = this.#engines[index]!;
    const workMs = job.promptTokens / PREFILL_TOKENS_PER_MS;
    const startMs = Math.max(this.#scheduler.nowMs, engine.freeAtMs);
    engine.freeAtMs = startMs + workMs;
    this.#score.computedTokens += job.promptTokens;
    this.#scheduler.after(engine.freeAtMs - this.#scheduler.nowMs, onDone);
  }
}

/**
 * Sort key: engines with free result slots first, then those that become idle
 * soonest.
 */
function engineLoad(engine: Engine): number {
  const queued = engine.freeResultSlots === 0
    ? 1e9 * (1 + engine.waiting.length)
    : 0;
  return queued + engine.freeAtMs;
}
