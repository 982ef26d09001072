/** Index of the keys in one sealed generation, with eight bytes for each key. */

/** An approximate key set: false positives are possible, false negatives are not. */
export class KeyIndex {
  readonly #fingerprints: BigUint64Array;

  constructor(keyHashes: readonly string[]) {
    this.#fingerprints = BigUint64Array.from(keyHashes, fingerprint).sort();
  }

  /** The number of keys. */
  get size(): number {
    return this.#fingerprints.length;
  }

  mayContain(keyHash: string): boolean {
    const wanted = fingerprint(keyHash);
    let low = 0;
    let high = this.#fingerprints.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#fingerprints[middle]! < wanted) low = middle + 1;
      else high = middle;
    }
    return this.#fingerprints[low] === wanted;
  }
}

function fingerprint(keyHash: string): bigint {
  return Buffer.from(keyHash, "base64url").readBigUInt64BE(8);
}
