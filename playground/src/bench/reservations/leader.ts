/**
 * Simulates the alternative to ordered reservations: requests acquire a decode
 * slot and a result slot of a prefill engine in either order and hold one while
 * they wait for the other. A leader with an exact view of all waits periodically
 * checks for deadlocks and makes one holder at a time release its result.
 * Prefill results don't expire while they wait, which favors this alternative.
 */
import { PrefillPool } from "./prefill_pool.ts";
import { EventScheduler } from "./event_scheduler.ts";
import {
  DECODE_ENGINES,
  type Job,
  LINK_TOKENS_PER_MS,
  REQUEST_TIMEOUT_MS,
  Score,
  SLOTS,
  STEP_MS,
} from "./workload.ts";

interface Waiter {
  job: Job;
  /**
   * Index of the prefill engine that stores the job's result, if there is one.
   */
  result: number | undefined;
  onGranted: () => void;
}

interface Engine {
  free: number;
  waiting: Waiter[];
}

/** Score of a run and the number of deadlocks that the leader resolved. */
export interface LeaderResult {
  score: Score;
  deadlocks: number;
}

/** Runs the jobs with a leader that checks for deadlocks every `intervalMs`. */
export function runWithLeader(
  jobs: readonly Job[],
  untilMs: number,
  intervalMs: number,
): LeaderResult {
  const simulation = new LeaderSimulation();
  for (const job of jobs) {
    simulation.scheduler.after(
      job.arrivedAtMs,
      () => simulation.arrive(job),
    );
  }
  const detect = () => {
    simulation.resolveDeadlock();
    simulation.scheduler.after(intervalMs, detect);
  };
  simulation.scheduler.after(intervalMs, detect);
  simulation.scheduler.run(untilMs);
  return { score: simulation.score, deadlocks: simulation.deadlocks };
}

class LeaderSimulation {
  readonly scheduler = new EventScheduler();
  readonly score = new Score();
  deadlocks = 0;
  /**
   * Running prefills, transfers and decodes; there is no deadlock while there
   * are any.
   */
  #activeWork = 0;
  readonly #prefills = new PrefillPool(this.scheduler, this.score);
  readonly #engines: Engine[] = Array.from(
    { length: DECODE_ENGINES },
    () => ({ free: SLOTS, waiting: [] }),
  );

  /**
   * Starts a job; every second job models an entry that acquires prefill first.
   */
  arrive(job: Job): void {
    if (job.id % 2 === 0) this.#decodeFirst(job);
    else this.#prefillFirst(job);
  }

  /**
   * Makes the newest job that holds a result release it if no job can progress.
   */
  resolveDeadlock(): void {
    const holders = this.#engines.flatMap((engine) =>
      engine.waiting.filter((waiter) => waiter.result !== undefined)
    );
    if (this.#activeWork > 0 || holders.length === 0) return;
    this.deadlocks++;
    const victim = holders.reduce((a, b) => b.job.id > a.job.id ? b : a);
    this.#removeFromQueue(victim);
    this.score.wastedTokens += victim.job.promptTokens;
    const result = victim.result!;
    this.scheduler.after(0, () => this.#prefillFirst(victim.job));
    this.#prefills.release(result);
  }

  #removeFromQueue(waiter: Waiter): void {
    for (const engine of this.#engines) {
      engine.waiting = engine.waiting.filter((other) => other !== waiter);
    }
  }

  #decodeFirst(job: Job): void {
    this.#acquireSlot(job, undefined, (engine) => {
      this.#prefills.acquire((index) => {
        this.#runPrefill(index, job, () => this.#decode(job, engine, index));
      });
    });
  }

  #prefillFirst(job: Job): void {
    this.#prefills.acquire((index) => {
      if (this.#hasTimedOut(job)) return this.#prefills.release(index);
      this.#runPrefill(index, job, () => {
        this.#acquireSlot(
          job,
          index,
          (engine) => this.#decode(job, engine, index),
        );
      });
    });
  }

  #runPrefill(index: number, job: Job, onDone: () => void): void {
    this.#activeWork++;
    this.#prefills.run(index, job, () => {
      this.#activeWork--;
      onDone();
    });
  }

  #acquireSlot(
    job: Job,
    result: number | undefined,
    onGranted: (engine: Engine) => void,
  ): void {
    const engine = this.#engines.reduce((a, b) =>
      queueLoad(b) < queueLoad(a) ? b : a
    );
    if (engine.free === 0) {
      engine.waiting.push({
        job,
        result,
        onGranted: () => onGranted(engine),
      });
      return;
    }
    engine.free--;
    onGranted(engine);
  }

  #releaseSlot(engine: Engine): void {
    const next = engine.waiting.shift();
    if (!next) engine.free++;
    else if (next.result === undefined && this.#hasTimedOut(next.job)) {
      this.#releaseSlot(engine);
    } else next.onGranted();
  }

  #hasTimedOut(job: Job): boolean {
    const timedOut =
      this.scheduler.nowMs - job.arrivedAtMs > REQUEST_TIMEOUT_MS;
    if (timedOut) this.score.timedOut++;
    return timedOut;
  }

  #decode(job: Job, engine: Engine, index: number): void {
    this.#activeWork++;
    this.scheduler.after(job.promptTokens / LINK_TOKENS_PER_MS, () => {
      this.#prefills.release(index);
      this.score.started(job, this.scheduler.nowMs + STEP_MS);
      this.scheduler.after(job.outputTokens * STEP_MS, () => {
        this.#activeWork--;
        this.#releaseSlot(engine);
      });
    });
  }
}

function queueLoad(engine: Engine): number {
  return engine.waiting.length - engine.free;
}
