/** The keys of one sealed generation, eight bytes each. */

/** Tells which keys may be in a generation; never denies one that is. */
export class KeyIndex {
  readonly #prints: BigUint64Array;

  constructor(keyHashes: readonly string[]) {
    this.#prints = BigUint64Array.from(keyHashes, fingerprint).sort();
  }

  /** The number of keys. */
  get size(): number {
    return this.#prints.length;
  }

  mayHold(keyHash: string): boolean {
    const wanted = fingerprint(keyHash);
    let low = 0;
    let high = this.#prints.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#prints[middle]! < wanted) low = middle + 1;
      else high = middle;
    }
    return this.#prints[low] === wanted;
  }
}

function fingerprint(keyHash: string): bigint {
  return Buffer.from(keyHash, "base64url").readBigUInt64BE(8);
}
