/**
 * Blocks of memory that are used again. A block that is dropped takes memory
 * until the garbage collector has run, and peers that send bytes without end make
 * a router drop many in a short time.
 */

/** Size of a block, in bytes. */
export const BLOCK_BYTES = 64 * 1024;
/** Most free blocks that are kept: 16 MB. */
const MAX_FREE_BLOCKS = 256;

/** The free blocks. */
export class BlockPool {
  readonly #free: Buffer[] = [];

  /** Returns a block with any content. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back a block that nothing refers to any more. */
  giveBack(block: Buffer): void {
    if (this.#free.length < MAX_FREE_BLOCKS) this.#free.push(block);
  }
}

/** The blocks of this process. */
export const blockPool = new BlockPool();
