/**
 * Measures how much work a pool takes from a queue while requests wait: the
 * servers that this queue has at its disposal, learnt from its own past.
 */

/** Time after which a measurement counts for a third, in milliseconds. */
const FORGET_MS = 2_000;
/** Waiting time that has to be seen before the measurement counts. */
const ENOUGH_MS = 200;
/** Wait from which on a request was not placed at once, in milliseconds. */
const WAITED_MS = 20;

const FEWEST_SERVERS = 0.1;
const MOST_SERVERS = 1_000;

/** Learns the number of servers at work for one queue. */
export class ServiceMeter {
  #waitingMs = 0;
  #takenMs = 0;
  #updatedAtMs: number | undefined;

  /** Work done at a time; 1 before anything was learnt. */
  get servers(): number {
    if (this.#waitingMs < ENOUGH_MS) return 1;
    const servers = this.#takenMs / this.#waitingMs;
    return Math.min(MOST_SERVERS, Math.max(FEWEST_SERVERS, servers));
  }

  /** Records that requests did or did not wait since the last call. */
  advance(nowMs: number, waiting: boolean): void {
    const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
    this.#updatedAtMs = nowMs;
    if (!waiting) return;
    const remembered = Math.exp(-elapsedMs / FORGET_MS);
    this.#takenMs *= remembered;
    this.#waitingMs = this.#waitingMs * remembered + elapsedMs;
  }

  /** Records work that was taken after a wait; negative when it came back. */
  take(workMs: number, waitedMs: number): void {
    if (waitedMs < WAITED_MS) return;
    this.#takenMs = Math.max(0, this.#takenMs + workMs);
  }
}
