/** Events in the order of their times; time moves only from one to the next. */

interface TimedEvent {
  atMs: number;
  number: number;
  run: () => void;
}

/** A deterministic timeline. */
export class Timeline {
  readonly #heap: TimedEvent[] = [];
  #number = 0;
  nowMs = 0;

  /** Runs `run` after `delayMs`. */
  after(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.#push({ atMs, number: this.#number++, run });
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

  #push(event: TimedEvent): void {
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

function before(a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs - b.atMs < 0 || (a.atMs === b.atMs && a.number < b.number);
}
