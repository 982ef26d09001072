/** Sorted set of keys for listing by prefix. */

/** A set of strings kept in sorted order. */
export class SortedKeys {
  readonly #keys: string[] = [];

  /** Index of the first key that is greater than or equal to `key`. */
  #lowerBound(key: string): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#keys[middle]! < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Adds a key if it is not in the set yet. */
  add(key: string): void {
    const index = this.#lowerBound(key);
    if (this.#keys[index] !== key) this.#keys.splice(index, 0, key);
  }

  remove(key: string): void {
    const index = this.#lowerBound(key);
    if (this.#keys[index] === key) this.#keys.splice(index, 1);
  }

  /** Returns up to `limit` keys that start with `prefix` and sort after `after`. */
  range(prefix: string, after: string, limit: number): string[] {
    const matches: string[] = [];
    let index = this.#lowerBound(after > prefix ? after : prefix);
    while (matches.length < limit && index < this.#keys.length) {
      const key = this.#keys[index]!;
      index += 1;
      if (!key.startsWith(prefix)) break;
      if (key > after) matches.push(key);
    }
    return matches;
  }
}
