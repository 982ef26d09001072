/** Discrete event simulation: the clock advances from one event to the next. */

interface ScheduledEvent {
  atMs: number;
  number: number;
  run: () => void;
}

/**
 * Runs events in the order of their times, and of scheduling for equal times.
 */
export class EventScheduler {
  readonly #heap: ScheduledEvent[] = [];
  #nextNumber = 0;
  nowMs = 0;

  /** Schedules `run` after `delayMs`. */
  after(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.#push({ atMs, number: this.#nextNumber++, run });
  }

  /** Runs every event up to `untilMs`. */
  run(untilMs: number): void {
    for (let next = this.#heap[0]; next; next = this.#heap[0]) {
      if (next.atMs > untilMs) return;
      this.#pop();
      this.nowMs = next.atMs;
      next.run();
    }
  }

  #push(event: ScheduledEvent): void {
    const heap = this.#heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!before(event, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && before(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!before(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
  }
}

function before(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs - b.atMs < 0 || (a.atMs === b.atMs && a.number < b.number);
}
