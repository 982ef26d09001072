/** Keys in order, for lists by prefix. */

/** A sorted set of strings. */
export class SortedKeys {
  readonly #keys: string[] = [];

  /** The index of the first key that is not before `key`. */
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

  /** Adds a key; a key that is there already stays once. */
  add(key: string): void {
    const index = this.#lowerBound(key);
    if (this.#keys[index] !== key) this.#keys.splice(index, 0, key);
  }

  /** Removes a key. */
  remove(key: string): void {
    const index = this.#lowerBound(key);
    if (this.#keys[index] === key) this.#keys.splice(index, 1);
  }

  /** At most `limit` keys that start with `prefix` and sort after `after`. */
  range(prefix: string, after: string, limit: number): string[] {
    const found: string[] = [];
    let index = this.#lowerBound(after > prefix ? after : prefix);
    while (found.length < limit && index < this.#keys.length) {
      const key = this.#keys[index]!;
      index += 1;
      if (!key.startsWith(prefix)) break;
      if (key > after) found.push(key);
    }
    return found;
  }
}
