/** Collects the bytes of one message in memory. */

/**
 * Bytes in memory for each byte of a message whose length isn't known before its
 * end: its parts, and the whole that is made of them.
 */
const UNDECLARED_FACTOR = 2;

/** The bytes of a message, of a declared length or of any. */
export class ByteCollector {
  /** Holds a message of a declared length. */
  readonly #whole: Buffer | undefined;
  #parts: Buffer[] = [];
  #size = 0;

  constructor(declaredBytes?: number) {
    if (declaredBytes === undefined) return;
    // Its pages take no memory before bytes are written to them.
    this.#whole = Buffer.allocUnsafeSlow(declaredBytes);
  }

  /** Number of bytes added. */
  get size(): number {
    return this.#size;
  }

  /** Number of bytes that are in memory when the message is complete. */
  get heldBytes(): number {
    return this.#whole?.length ?? UNDECLARED_FACTOR * this.#size;
  }

  /** Adds bytes; those beyond a declared length are left out. */
  add(bytes: Buffer): void {
    if (this.#whole) bytes.copy(this.#whole, this.#size);
    else this.#parts.push(bytes);
    this.#size += bytes.length;
  }

  /** All bytes that were added. */
  toBuffer(): Buffer {
    return this.#whole?.subarray(0, this.#size) ??
      Buffer.concat(this.#parts, this.#size);
  }

  /** Forgets all bytes. */
  clear(): void {
    this.#parts = [];
  }
}
