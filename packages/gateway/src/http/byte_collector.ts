/**
 * Collects the bytes of one message in memory. Bytes are copied into blocks: an
 * object for each piece that arrives would take a hundred times the memory of
 * a piece of one byte, and in the heap.
 */

import { BLOCK_BYTES, blockPool } from "./block_pool.ts";

/** Size of the first block of a message of unknown length, in bytes. */
const MIN_BLOCK_BYTES = 1024;

/** The bytes of a message, of a declared length or of any. */
export class ByteCollector {
  /** Whether the first block holds the whole message. */
  readonly #isDeclared: boolean;
  #blocks: Buffer[] = [];
  #last: Buffer = Buffer.alloc(0);
  /** Bytes that are used in the last block. */
  #lastBytes = 0;
  #capacity = 0;
  #size = 0;

  constructor(declaredBytes?: number) {
    this.#isDeclared = declaredBytes !== undefined;
    if (declaredBytes !== undefined) this.#addBlock(declaredBytes);
  }

  /** Number of bytes added. */
  get size(): number {
    return this.#size;
  }

  /** Number of bytes that are in memory when the message is complete. */
  get heldBytes(): number {
    return this.#isDeclared ? this.#capacity : this.#capacity + this.#size;
  }

  /** Adds bytes; those beyond a declared length are left out. */
  add(bytes: Buffer): void {
    let copied = this.#copy(bytes, 0);
    while (copied < bytes.length && !this.#isDeclared) {
      this.#addBlock(this.#nextBlockBytes());
      copied += this.#copy(bytes, copied);
    }
    this.#size += bytes.length;
  }

  /** All bytes that were added. */
  toBuffer(): Buffer {
    return this.#isDeclared
      ? this.#last.subarray(0, this.#size)
      : Buffer.concat(this.#blocks, this.#size);
  }

  /** Forgets all bytes; what {@link toBuffer} returned stays valid. */
  clear(): void {
    for (const block of this.#blocks) this.#giveBack(block);
    this.#blocks = [];
    this.#last = Buffer.alloc(0);
    this.#lastBytes = 0;
  }

  #nextBlockBytes(): number {
    return Math.min(BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#capacity));
  }

  /** A declared message is a block of its own, which may be in use. */
  #giveBack(block: Buffer): void {
    if (this.#isDeclared || block.length !== BLOCK_BYTES) return;
    blockPool.giveBack(block);
  }

  #createBlock(bytes: number): Buffer {
    if (!this.#isDeclared && bytes === BLOCK_BYTES) return blockPool.take();
    // Its pages take no memory before bytes are written to them.
    return Buffer.allocUnsafeSlow(bytes);
  }

  #addBlock(bytes: number): void {
    this.#last = this.#createBlock(bytes);
    this.#blocks.push(this.#last);
    this.#lastBytes = 0;
    this.#capacity += bytes;
  }

  /** Copies what fits into the last block; returns the number of bytes. */
  #copy(bytes: Buffer, from: number): number {
    const count = bytes.copy(this.#last, this.#lastBytes, from);
    this.#lastBytes += count;
    return count;
  }
}
