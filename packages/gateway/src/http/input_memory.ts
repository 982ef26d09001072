/**
 * The memory of input that waits to be processed, over all connections. When it
 * is full, reading is paused on every connection until a quarter is free again;
 * a kernel holds a bounded number of bytes of each.
 */

/** Part of the memory in use at which reading is resumed. */
const RESUME_SHARE = 0.75;
/** Part of the memory that is left in use when input is discarded. */
const RELIEVED_SHARE = 0.5;
const DEFAULT_MAX_BYTES = 4 * 1024 * 1024;

/** Options of {@link InputMemory}. */
export interface InputMemoryOptions {
  /** Memory for input that waits, in bytes. @default 4194304 */
  maxBytes?: number;
  /** Called when the memory is full, and when reading may be resumed. */
  onChange: (isFull: boolean) => void;
}

/** Memory for input that waits. */
export class InputMemory {
  readonly #maxBytes: number;
  readonly #onChange: (isFull: boolean) => void;
  #usedBytes = 0;
  #isFull = false;

  constructor({ maxBytes = DEFAULT_MAX_BYTES, onChange }: InputMemoryOptions) {
    this.#maxBytes = maxBytes;
    this.#onChange = onChange;
  }

  /** Memory in use, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Memory that may stay in use when it was full, in bytes. */
  get relievedBytes(): number {
    return RELIEVED_SHARE * this.#maxBytes;
  }

  /** Memory that is left, in bytes. */
  get freeBytes(): number {
    return Math.max(0, this.#maxBytes - this.#usedBytes);
  }

  /** True from when the memory is full until reading may be resumed. */
  get isFull(): boolean {
    return this.#isFull;
  }

  /** Adds to the memory in use; a negative number releases. */
  add(bytes: number): void {
    this.#usedBytes += bytes;
    const limit = this.#isFull ? RESUME_SHARE * this.#maxBytes : this.#maxBytes;
    const isFull = this.#usedBytes > limit;
    if (isFull === this.#isFull) return;
    this.#isFull = isFull;
    this.#onChange(isFull);
  }
}
