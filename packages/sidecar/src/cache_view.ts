/**
 * Tracks the contents of the engine's prefix cache through its cache events.
 * Events are delayed and can be lost: a gap in their numbers triggers a new
 * snapshot.
 */
import type { CacheEvent, Engine } from "@sassafrascleat/engine";
import { TOKENS_PER_PIECE } from "@sassafrascleat/protocol";

/** Delayed copy of the index of the engine's prefix cache. */
export class CacheView {
  readonly #engine: Engine;
  readonly #pieces = new Set<string>();
  #lastEventNumber: number | undefined;
  /** Number of snapshots fetched so far. */
  resyncs = 0;

  constructor(engine: Engine) {
    this.#engine = engine;
  }

  /** Estimates how many prompt tokens the engine's cache holds. */
  cachedTokens(pieceHashes: readonly string[]): number {
    const miss = pieceHashes.findIndex((hash) => !this.#pieces.has(hash));
    const hits = miss < 0 ? pieceHashes.length : miss;
    return hits * TOKENS_PER_PIECE;
  }

  /** Fetches new cache events from the engine, or a snapshot. */
  async poll(): Promise<void> {
    if (this.#lastEventNumber === undefined) return await this.#resync();
    const events = await this.#engine.cacheEvents(this.#lastEventNumber);
    for (const event of events ?? []) {
      if (event.number !== this.#lastEventNumber + 1) {
        return await this.#resync();
      }
      this.#apply(event);
      this.#lastEventNumber = event.number;
    }
  }

  #apply(event: CacheEvent): void {
    for (const hash of event.added) this.#pieces.add(hash);
    for (const hash of event.evicted) this.#pieces.delete(hash);
  }

  async #resync(): Promise<void> {
    const snapshot = await this.#engine.cacheSnapshot();
    if (!snapshot) return;
    this.resyncs++;
    this.#pieces.clear();
    for (const hash of snapshot.pieces) this.#pieces.add(hash);
    this.#lastEventNumber = snapshot.number;
  }
}
