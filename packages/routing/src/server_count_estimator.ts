/**
 * Estimates how many servers work for a queue in parallel: the work dispatched
 * per unit of time while requests were waiting, with exponential decay.
 */

/** Time after which a measurement has decayed to about a third (1/e), in milliseconds. */
const DECAY_TIME_CONSTANT_MS = 2_000;
/** Observed time with a non-empty queue before the estimate is used, in milliseconds. */
const MIN_BACKLOG_MS = 200;
/** Waits shorter than this count as immediate placement, in milliseconds. */
const MIN_QUEUE_WAIT_MS = 20;

const MIN_SERVERS = 0.1;
const MAX_SERVERS = 1_000;

/** Estimates the number of servers that serve one queue. */
export class ServerCountEstimator {
  #backlogMs = 0;
  #dispatchedMs = 0;
  #updatedAtMs: number | undefined;

  /** Estimated number of servers; 1 until enough has been observed. */
  get servers(): number {
    if (this.#backlogMs < MIN_BACKLOG_MS) return 1;
    const servers = this.#dispatchedMs / this.#backlogMs;
    return Math.min(MAX_SERVERS, Math.max(MIN_SERVERS, servers));
  }

  /** Records whether requests were waiting since the last call. */
  advance(nowMs: number, waiting: boolean): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = nowMs;
    if (!waiting) return;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
    this.#dispatchedMs *= decay;
    this.#backlogMs = this.#backlogMs * decay + elapsedMs;
  }

  /** Records work dispatched after a wait; negative when the request was requeued. */
  recordDispatch(workMs: number, waitedMs: number): void {
    if (waitedMs < MIN_QUEUE_WAIT_MS) return;
    this.#dispatchedMs = Math.max(0, this.#dispatchedMs + workMs);
  }
}
