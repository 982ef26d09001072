/**
 * What the engine's prefix cache holds, followed by its cache events. Events
 * come late and some are lost: a gap in their numbers leads to a new snapshot.
 */
import type { CacheEvent, Engine } from "@sassafrascleat/engine";
import { TOKENS_PER_PIECE } from "@sassafrascleat/protocol";

/** A lagging copy of the prefix cache's index. */
export class CacheView {
  readonly #engine: Engine;
  readonly #pieces = new Set<string>();
  #number: number | undefined;
  /** Snapshots taken so far. */
  resyncs = 0;

  constructor(engine: Engine) {
    this.#engine = engine;
  }

  /** Prompt tokens that the cache is thought to serve. */
  cachedTokens(pieceHashes: readonly string[]): number {
    const miss = pieceHashes.findIndex((hash) => !this.#pieces.has(hash));
    const hits = miss < 0 ? pieceHashes.length : miss;
    return hits * TOKENS_PER_PIECE;
  }

  /** Fetches news from the engine. */
  async poll(): Promise<void> {
    if (this.#number === undefined) return await this.#resync();
    const events = await this.#engine.cacheEvents(this.#number);
    for (const event of events ?? []) {
      if (event.number !== this.#number + 1) return await this.#resync();
      this.#apply(event);
      this.#number = event.number;
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
    this.#number = snapshot.number;
  }
}
