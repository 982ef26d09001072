/**
 * What this entry believes the prefix caches hold: the pieces that it sent to
 * each prefill server lately, least recently used first out.
 */
import { MAX_INDEXED_PIECES } from "../constants.ts";

/** Remembers pieces by backend server; bounded for each. */
export class PrefixCacheIndex {
  readonly #capacity: number;
  readonly #piecesByServer = new Map<string, Set<string>>();

  constructor(capacity = MAX_INDEXED_PIECES) {
    this.#capacity = capacity;
  }

  /** Records that `name` works on a prompt with these leading pieces. */
  record(name: string, pieceHashes: readonly string[]): void {
    const pieces = this.#piecesByServer.get(name) ?? new Set<string>();
    this.#piecesByServer.set(name, pieces);
    for (const hash of pieceHashes) {
      pieces.delete(hash);
      pieces.add(hash);
    }
    for (const oldest of pieces) {
      if (pieces.size <= this.#capacity) break;
      pieces.delete(oldest);
    }
  }

  /** Number of leading pieces that `name` probably has. */
  match(name: string, pieceHashes: readonly string[]): number {
    const pieces = this.#piecesByServer.get(name);
    if (!pieces) return 0;
    let count = 0;
    while (count < pieceHashes.length && pieces.has(pieceHashes[count]!)) {
      count += 1;
    }
    return count;
  }

  /** The most leading pieces that any server probably has. */
  bestMatch(pieceHashes: readonly string[]): number {
    let best = 0;
    for (const name of this.#piecesByServer.keys()) {
      best = Math.max(best, this.match(name, pieceHashes));
    }
    return best;
  }

  /** Records that `name` had only the first `count` pieces. */
  correct(name: string, pieceHashes: readonly string[], count: number): void {
    const pieces = this.#piecesByServer.get(name);
    for (const hash of pieceHashes.slice(count)) pieces?.delete(hash);
  }
}
