/** A prefix cache of limited size whose events come late and with gaps. */
import type { CacheEvent } from "@sassafrascleat/engine";
import { createRandom, type Random } from "@sassafrascleat/runtime";

interface TimedEvent {
  at: number;
  lost: boolean;
  event: CacheEvent;
}

/** Least recently used pieces leave first. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #lagMs: number;
  readonly #loss: number;
  readonly #random: Random;
  readonly #pieces = new Set<string>();
  #events: TimedEvent[] = [];
  #number = 0;

  constructor(capacity: number, lagMs: number, loss: number, seed: number) {
    this.#capacity = capacity;
    this.#lagMs = lagMs;
    this.#loss = loss;
    this.#random = createRandom(seed);
  }

  /** Leading pieces of the prompt that are in the cache. */
  hits(pieceHashes: readonly string[]): number {
    const miss = pieceHashes.findIndex((hash) => !this.#pieces.has(hash));
    return miss < 0 ? pieceHashes.length : miss;
  }

  /** Adds the pieces of a prompt that was run, and evicts the oldest. */
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
    if (added.length + evicted.length > 0) this.#record(added, evicted);
  }

  /** Events after `afterNumber` that have come out by now. */
  events(afterNumber: number): CacheEvent[] {
    const now = performance.now();
    return this.#events
      .filter((item) => item.at <= now && !item.lost)
      .map((item) => item.event)
      .filter((event) => event.number > afterNumber);
  }

  /** Everything in the cache now. */
  snapshot(): { number: number; pieces: string[] } {
    return { number: this.#number, pieces: [...this.#pieces] };
  }

  #record(added: string[], evicted: string[]): void {
    this.#number++;
    this.#events.push({
      at: performance.now() + this.#lagMs,
      lost: this.#random.float() < this.#loss,
      event: { number: this.#number, added, evicted },
    });
    this.#events = this.#events.slice(-1000);
  }
}
