/** Prefill engines that run one prompt at a time and hold few results. */
import {
  type Job,
  PREFILL_ENGINES,
  PREFILL_TOKENS_PER_MS,
  RESULT_PLACES,
  type Score,
} from "./workload.ts";
import type { Timeline } from "./timeline.ts";

interface Engine {
  freeAtMs: number;
  places: number;
  waiting: ((engine: number) => void)[];
}

/** Serial engines with a bounded number of result places. */
export class PrefillPool {
  readonly #timeline: Timeline;
  readonly #score: Score;
  readonly #engines: Engine[] = Array.from(
    { length: PREFILL_ENGINES },
    () => ({ freeAtMs: 0, places: RESULT_PLACES, waiting: [] }),
  );

  constructor(timeline: Timeline, score: Score) {
    this.#timeline = timeline;
    this.#score = score;
  }

  /** Work ahead of a new prompt at the least busy engine, in milliseconds. */
  get backlogMs(): number {
    const free = Math.min(...this.#engines.map((engine) => engine.freeAtMs));
    return Math.max(0, free - this.#timeline.nowMs);
  }

  /** Takes a result place, now or when one is given back, in order. */
  acquire(then: (engine: number) => void): void {
    const best = this.#engines.reduce((a, b) => load(b) < load(a) ? b : a);
    const index = this.#engines.indexOf(best);
    if (best.places === 0) {
      best.waiting.push(then);
      return;
    }
    best.places--;
    then(index);
  }

  release(index: number): void {
    const engine = this.#engines[index]!;
    const next = engine.waiting.shift();
    if (next) next(index);
    else engine.places++;
  }

  /** Runs a prompt whose result place is held. */
  run(index: number, job: Job, then: () => void): void {
    const engine = this.#engines[index]!;
    const workMs = job.promptTokens / PREFILL_TOKENS_PER_MS;
    const beginMs = Math.max(this.#timeline.nowMs, engine.freeAtMs);
    engine.freeAtMs = beginMs + workMs;
    this.#score.ranTokens += job.promptTokens;
    this.#timeline.after(engine.freeAtMs - this.#timeline.nowMs, then);
  }
}

/** Engines with free places first, then those that are free soonest. */
function load(engine: Engine): number {
  const queued = engine.places === 0 ? 1e9 * (1 + engine.waiting.length) : 0;
  return queued + engine.freeAtMs;
}
