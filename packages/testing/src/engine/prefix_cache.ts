/** A bounded prefix cache whose change events are delayed and partly lost. */
import type { CacheEvent } from "@sassafrascleat/engine";
import { createRandom, type Random } from "@sassafrascleat/runtime";

interface TimedEvent {
  visibleAt: number;
  lost: boolean;
  event: CacheEvent;
}

/** A prefix cache that evicts the least recently used pieces. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #lagMs: number;
  readonly #lossRate: number;
  readonly #random: Random;
  readonly #pieces = new Set<string>();
  #events: TimedEvent[] = [];
  #lastNumber = 0;

  constructor(capacity: number, lagMs: number, loss: number, seed: number) {
    this.#capacity = capacity;
    this.#lagMs = lagMs;
    this.#lossRate = loss;
    this.#random = createRandom(seed);
  }

  /** Returns how many leading pieces of the prompt are in the cache. */
  countLeadingHits(pieceHashes: readonly string[]): number {
    const miss = pieceHashes.findIndex((hash) => !this.#pieces.has(hash));
    return miss < 0 ? pieceHashes.length : miss;
  }

  /** Adds the pieces of a prefilled prompt and evicts those over capacity. */
  add(pieceHashes: readonly string[]): void {
    const added = pieceHashes.filter((hash) => !this.#pieces.has(hash));
    for (const hash of pieceHashes) {
      this.#pieces.delete(hash);
      this.#pieces.add(hash);
    }
    const evicted: string[] = [];
    for (const hash of this.#pieces) {
      if (this.#pieces.size - evicted.length <= this.#capacity) break;
      evicted.push(hash);
    }
    for (const hash of evicted) this.#pieces.delete(hash);
    if (added.length + evicted.length > 0) this.#recordEvent(added, evicted);
  }

  /** Returns the events after `afterNumber` whose delay has passed. */
  events(afterNumber: number): CacheEvent[] {
    const now = performance.now();
    return this.#events
      .filter((item) => item.visibleAt <= now && !item.lost)
      .map((item) => item.event)
      .filter((event) => event.number > afterNumber);
  }

  /** Returns the current contents and the number of the last event. */
  snapshot(): { number: number; pieces: string[] } {
    return { number: this.#lastNumber, pieces: [...this.#pieces] };
  }

  #recordEvent(added: string[], evicted: string[]): void {
    this.#lastNumber++;
    this.#events.push({
      visibleAt: performance.now() + this.#lagMs,
      lost: this.#random.float() < this.#lossRate,
      event: { number: this.#lastNumber, added, evicted },
    });
    this.#events = this.#events.slice(-1000);
  }
}
