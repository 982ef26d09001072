/**
 * An approximate index of the prefix caches of the prefill servers: the pieces
 * (KV cache blocks) of the prompts that this entry recently sent to each server,
 * with least-recently-used eviction.
 */
import { MAX_INDEXED_PIECES } from "../constants.ts";

/** Indexes cached pieces by backend server, with a bound per server. */
export class PrefixCacheIndex {
  readonly #capacity: number;
  readonly #piecesByServer = new Map<string, Set<string>>();

  constructor(capacity = MAX_INDEXED_PIECES) {
    this.#capacity = capacity;
  }

  /** Records that server `name` processes a prompt with these leading pieces. */
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

  /** Returns how many leading pieces server `name` probably has cached. */
  match(name: string, pieceHashes: readonly string[]): number {
    const pieces = this.#piecesByServer.get(name);
    if (!pieces) return 0;
    let count = 0;
    while (count < pieceHashes.length && pieces.has(pieceHashes[count]!)) {
      count += 1;
    }
    return count;
  }

  /** Returns the largest number of leading pieces that any server probably has cached. */
  bestMatch(pieceHashes: readonly string[]): number {
    let best = 0;
    for (const name of this.#piecesByServer.keys()) {
      best = Math.max(best, this.match(name, pieceHashes));
    }
    return best;
  }

  /** Records that server `name` had only the first `count` pieces cached. */
  correct(name: string, pieceHashes: readonly string[], count: number): void {
    const pieces = this.#piecesByServer.get(name);
    for (const hash of pieceHashes.slice(count)) pieces?.delete(hash);
  }
}
