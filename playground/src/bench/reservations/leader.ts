/**
 * The other way: requests take what is free in either order and wait for the
 * rest while they hold it; a leader with an exact view of all waits looks for
 * deadlocks at an interval and makes one holder give up at a time. In its
 * favour, results don't expire here while they wait.
 */
import { PrefillPool } from "./prefill_pool.ts";
import { Timeline } from "./timeline.ts";
import {
  DECODE_ENGINES,
  GIVE_UP_MS,
  type Job,
  LINK_TOKENS_PER_MS,
  Score,
  SLOTS,
  STEP_MS,
} from "./workload.ts";

interface Waiter {
  job: Job;
  /** The prefill engine whose result the job holds; none if undefined. */
  result: number | undefined;
  then: () => void;
}

interface Engine {
  free: number;
  waiting: Waiter[];
}

/** What the leader found. */
export interface LeaderScore {
  score: Score;
  deadlocks: number;
}

/** Runs the jobs with a leader that looks each `intervalMs`. */
export function runWithLeader(
  jobs: readonly Job[],
  untilMs: number,
  intervalMs: number,
): LeaderScore {
  const world = new LeaderWorld();
  for (const job of jobs) {
    world.timeline.after(job.arrivedAtMs, () => world.arrive(job));
  }
  const look = () => {
    world.resolveDeadlock();
    world.timeline.after(intervalMs, look);
  };
  world.timeline.after(intervalMs, look);
  world.timeline.run(untilMs);
  return { score: world.score, deadlocks: world.deadlocks };
}

class LeaderWorld {
  readonly timeline = new Timeline();
  readonly score = new Score();
  deadlocks = 0;
  /** Prompts and answers in work: while there are any, something progresses. */
  #active = 0;
  readonly #prefills = new PrefillPool(this.timeline, this.score);
  readonly #engines: Engine[] = Array.from(
    { length: DECODE_ENGINES },
    () => ({ free: SLOTS, waiting: [] }),
  );

  /** Every other request comes from an entry that asks for prefill first. */
  arrive(job: Job): void {
    if (job.id % 2 === 0) this.#decodeFirst(job);
    else this.#prefillFirst(job);
  }

  /** Makes the youngest holder of a result give it up when nothing can move. */
  resolveDeadlock(): void {
    const holders = this.#engines.flatMap((engine) =>
      engine.waiting.filter((waiter) => waiter.result !== undefined)
    );
    if (this.#active > 0 || holders.length === 0) return;
    this.deadlocks++;
    const victim = holders.reduce((a, b) => b.job.id > a.job.id ? b : a);
    this.#withdraw(victim);
    this.score.wastedTokens += victim.job.promptTokens;
    const result = victim.result!;
    this.timeline.after(0, () => this.#prefillFirst(victim.job));
    this.#prefills.release(result);
  }

  #withdraw(waiter: Waiter): void {
    for (const engine of this.#engines) {
      engine.waiting = engine.waiting.filter((other) => other !== waiter);
    }
  }

  #decodeFirst(job: Job): void {
    this.#acquireSlot(job, undefined, (engine) => {
      this.#prefills.acquire((index) => {
        this.#run(index, job, () => this.#decode(job, engine, index));
      });
    });
  }

  #prefillFirst(job: Job): void {
    this.#prefills.acquire((index) => {
      if (this.#tooLate(job)) return this.#prefills.release(index);
      this.#run(index, job, () => {
        this.#acquireSlot(
          job,
          index,
          (engine) => this.#decode(job, engine, index),
        );
      });
    });
  }

  #run(index: number, job: Job, then: () => void): void {
    this.#active++;
    this.#prefills.run(index, job, () => {
      this.#active--;
      then();
    });
  }

  #acquireSlot(
    job: Job,
    result: number | undefined,
    then: (engine: Engine) => void,
  ): void {
    const engine = this.#engines.reduce((a, b) => load(b) < load(a) ? b : a);
    if (engine.free === 0) {
      engine.waiting.push({ job, result, then: () => then(engine) });
      return;
    }
    engine.free--;
    then(engine);
  }

  #releaseSlot(engine: Engine): void {
    const next = engine.waiting.shift();
    if (!next) engine.free++;
    else if (next.result === undefined && this.#tooLate(next.job)) {
      this.#releaseSlot(engine);
    } else next.then();
  }

  #tooLate(job: Job): boolean {
    const late = this.timeline.nowMs - job.arrivedAtMs > GIVE_UP_MS;
    if (late) this.score.gaveUp++;
    return late;
  }

  #decode(job: Job, engine: Engine, index: number): void {
    this.#active++;
    this.timeline.after(job.promptTokens / LINK_TOKENS_PER_MS, () => {
      this.#prefills.release(index);
      this.score.started(job, this.timeline.nowMs + STEP_MS);
      this.timeline.after(job.outputTokens * STEP_MS, () => {
        this.#active--;
        this.#releaseSlot(engine);
      });
    });
  }
}

function load(engine: Engine): number {
  return engine.waiting.length - engine.free;
}
