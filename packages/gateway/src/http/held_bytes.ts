/**
 * Input that can't be processed yet, as one buffer: an object for each read
 * would take more memory than a read of few bytes.
 */

const MIN_BUFFER_BYTES = 1024;

/** Bytes in the order in which they were added. */
export class HeldBytes {
  #buffer: Buffer | undefined;
  #start = 0;
  #end = 0;

  /** Number of bytes held. */
  get size(): number {
    return this.#end - this.#start;
  }

  /** Memory that they take, in bytes. */
  get memoryBytes(): number {
    return this.#buffer?.length ?? 0;
  }

  /** The first bytes, at most `count`; valid until the next call. */
  peek(count: number): Buffer {
    const end = Math.min(this.#end, this.#start + count);
    return this.#buffer?.subarray(this.#start, end) ?? Buffer.alloc(0);
  }

  /** Adds bytes; the buffer of the first ones is kept, not copied. */
  add(bytes: Buffer): void {
    if (!this.#buffer || this.size === 0) {
      this.#buffer = bytes;
      this.#start = 0;
      this.#end = bytes.length;
      return;
    }
    if (this.#end + bytes.length > this.#buffer.length) {
      this.#move(2 * (this.size + bytes.length));
    }
    bytes.copy(this.#buffer, this.#end);
    this.#end += bytes.length;
  }

  /** Removes the first `count` bytes. */
  take(count: number): void {
    this.#start += count;
    if (this.size === 0) this.clear();
  }

  /** Releases memory that the remaining bytes don't need. */
  compact(): void {
    if (this.size < this.memoryBytes / 4) this.#move(2 * this.size);
  }

  /** Forgets all bytes. */
  clear(): void {
    this.#buffer = undefined;
    this.#start = 0;
    this.#end = 0;
  }

  #move(capacity: number): void {
    const bytes = Buffer.allocUnsafeSlow(Math.max(MIN_BUFFER_BYTES, capacity));
    const { size } = this;
    this.peek(size).copy(bytes);
    this.#buffer = bytes;
    this.#start = 0;
    this.#end = size;
  }
}
