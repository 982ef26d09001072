/**
 * Bounds the work that input from callers causes in one turn of the event loop,
 * for each connection and for all together. Work beyond it is done in later
 * turns, round-robin over the connections. Connections that stayed within their
 * share come first, so that ordinary callers don't wait for those that send
 * much; the others keep a quarter of each turn, so that they progress.
 */

/** Work that can be done in parts. */
export interface TurnTask {
  /** True if there is work that can be done now. */
  readonly isReady: boolean;
  /** Does about `maxWork` units of work; returns the units done. */
  run(maxWork: number): number;
}

/** Options of {@link TurnBudget}. One unit is about one byte of input. */
export interface TurnBudgetOptions {
  /** Work of all tasks in one turn, in units. @default 524288 */
  maxWork?: number;
  /** Work of one task in one turn, in units. @default 65536 */
  maxTaskWork?: number;
  /** Calls back in the next turn. @default setImmediate */
  nextTurn?: (callback: () => void) => void;
}

/** Part of a turn for tasks that have exceeded their share. */
const DEFERRED_SHARE = 0.25;
/**
 * Part of a turn's work from which the next turn is awaited. Little work is
 * counted over several turns, since a callback for each would cost more.
 */
const COUNTED_SHARE = 0.25;

/** Schedules tasks over the turns of the event loop. */
export class TurnBudget {
  readonly #maxWork: number;
  readonly #maxTaskWork: number;
  readonly #nextTurn: (callback: () => void) => void;
  /** Tasks that have not been run in their turn. */
  readonly #waiting = new Set<TurnTask>();
  /** Tasks that have used their share and are not finished. */
  readonly #deferred = new Set<TurnTask>();
  #work = 0;
  #isScheduled = false;

  constructor(options: TurnBudgetOptions = {}) {
    this.#maxWork = options.maxWork ?? 512 * 1024;
    this.#maxTaskWork = options.maxTaskWork ?? 64 * 1024;
    this.#nextTurn = options.nextTurn ?? setImmediate;
  }

  /** Number of tasks that wait for a later turn. */
  get waiting(): number {
    return this.#waiting.size + this.#deferred.size;
  }

  /** Runs a task, at once if this turn allows it. */
  submit(task: TurnTask): void {
    if (!task.isReady || this.#isQueued(task)) return;
    if (this.#waiting.size === 0 && this.#work < this.#maxWork) this.#run(task);
    else this.#waiting.add(task);
    this.#schedule();
  }

  /** Forgets a task. */
  remove(task: TurnTask): void {
    this.#waiting.delete(task);
    this.#deferred.delete(task);
  }

  #isQueued(task: TurnTask): boolean {
    return this.#waiting.has(task) || this.#deferred.has(task);
  }

  #run(task: TurnTask): void {
    const maxWork = Math.min(this.#maxTaskWork, this.#maxWork - this.#work);
    this.#work += Math.max(1, task.run(maxWork));
    if (task.isReady) this.#deferred.add(task);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    const isLittle = this.#work < COUNTED_SHARE * this.#maxWork;
    if (isLittle && this.waiting === 0) return;
    this.#isScheduled = true;
    this.#nextTurn(() => this.#startTurn());
  }

  #startTurn(): void {
    this.#isScheduled = false;
    this.#work = 0;
    // Tasks that are deferred again come last.
    const deferred = [...this.#deferred];
    this.#runSome(this.#waiting, (1 - DEFERRED_SHARE) * this.#maxWork);
    for (const task of deferred) {
      if (this.#work >= this.#maxWork) break;
      if (this.#deferred.delete(task) && task.isReady) this.#run(task);
    }
    if (this.waiting > 0) this.#schedule();
  }

  #runSome(tasks: Set<TurnTask>, maxWork: number): void {
    for (const task of tasks) {
      if (this.#work >= maxWork) return;
      tasks.delete(task);
      if (task.isReady) this.#run(task);
    }
  }
}
