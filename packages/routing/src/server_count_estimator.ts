/**
 * Measures how much work a pool takes from a queue while requests wait: the
 * servers that this queue has at its disposal, learnt from its own past.
 */

/** Time after which a measurement counts for a third, in milliseconds. */
const DECAY_TIME_CONSTANT_MS = 2_000;
/** Waiting time that has to be seen before the measurement counts. */
const MIN_BACKLOG_MS = 200;
/** Wait from which on a request was not placed at once, in milliseconds. */
const MIN_QUEUE_WAIT_MS = 20;

const MIN_SERVERS = 0.1;
const MAX_SERVERS = 1_000;

/** Learns the number of servers at work for one queue. */
export class ServerCountEstimator {
  #backlogMs = 0;
  #dispatchedMs = 0;
  #updatedAtMs: number | undefined;

  /** Work done at a time; 1 before anything was learnt. */
  get servers(): number {
    if (this.#backlogMs < MIN_BACKLOG_MS) return 1;
    const servers = this.#dispatchedMs / this.#backlogMs;
    return Math.min(MAX_SERVERS, Math.max(MIN_SERVERS, servers));
  }

  /** Records that requests did or did not wait since the last call. */
  advance(nowMs: number, waiting: boolean): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = nowMs;
    if (!waiting) return;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
    this.#dispatchedMs *= decay;
    this.#backlogMs = this.#backlogMs * decay + elapsedMs;
  }

  /** Records work that was taken after a wait; negative when it came back. */
  recordDispatch(workMs: number, waitedMs: number): void {
    if (waitedMs < MIN_QUEUE_WAIT_MS) return;
    this.#dispatchedMs = Math.max(0, this.#dispatchedMs + workMs);
  }
}
