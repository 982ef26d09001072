/**
 * One bound on the memory for all that peers make a router hold: bodies of
 * callers, responses of backend servers and of the store, and output that
 * callers don't read. The more has been done for a request, the more of the
 * budget its bytes may use, so that bodies which arrive are refused before
 * responses that have been computed are lost.
 */

/** What bytes are held for. */
export enum MemoryUse {
  /** A long body of a caller. */
  Body = "body",
  /** A short body of a caller, as most are. */
  SmallBody = "small_body",
  /** A long response. */
  Response = "response",
  /** A short response. */
  SmallResponse = "small_response",
  /** Output that has been accepted already: it counts, but always fits. */
  Output = "output",
}

/** Bodies and responses up to this size are small ones, in bytes. */
const SMALL_BYTES = 64 * 1024;
/** Part of the budget up to which each use may grow. */
const SHARE: Record<MemoryUse, number> = {
  [MemoryUse.Body]: 0.5,
  [MemoryUse.SmallBody]: 0.7,
  [MemoryUse.Response]: 0.85,
  [MemoryUse.SmallResponse]: 1,
  [MemoryUse.Output]: Infinity,
};
const DEFAULT_MAX_BYTES = 40 * 1024 * 1024;

/** Memory for what peers send, shared by everything in the process. */
export class MemoryBudget {
  readonly #maxBytes: number;
  #usedBytes = 0;

  /** `maxBytes` is the whole budget. @default 41943040 */
  constructor(maxBytes = DEFAULT_MAX_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** Memory in use, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Memory in use, as a part of the whole. */
  get usedShare(): number {
    return this.#usedBytes / this.#maxBytes;
  }

  /** Opens an account for one holder of bytes. */
  open(): MemoryAccount {
    return new MemoryAccount((bytes, use) => this.#add(bytes, use));
  }

  #add(bytes: number, use: MemoryUse): boolean {
    const usedBytes = this.#usedBytes + bytes;
    if (bytes > 0 && usedBytes > SHARE[use] * this.#maxBytes) return false;
    this.#usedBytes = usedBytes;
    return true;
  }
}

/** The bytes of one holder. */
export class MemoryAccount {
  readonly #add: (bytes: number, use: MemoryUse) => boolean;
  #bytes = 0;

  constructor(add: (bytes: number, use: MemoryUse) => boolean) {
    this.#add = add;
  }

  /** Holds `bytes` of a caller's body in all; false if they don't fit. */
  holdBody(bytes: number): boolean {
    const small = bytes <= SMALL_BYTES;
    return this.#hold(bytes, small ? MemoryUse.SmallBody : MemoryUse.Body);
  }

  /** Holds `bytes` of a response in all; false if they don't fit. */
  holdResponse(bytes: number): boolean {
    const small = bytes <= SMALL_BYTES;
    const use = small ? MemoryUse.SmallResponse : MemoryUse.Response;
    return this.#hold(bytes, use);
  }

  /** Holds `bytes` in all that wait until a caller reads them. */
  holdOutput(bytes: number): void {
    this.#hold(bytes, MemoryUse.Output);
  }

  /** Returns everything. */
  release(): void {
    this.#hold(0, MemoryUse.Output);
  }

  #hold(bytes: number, use: MemoryUse): boolean {
    if (!this.#add(bytes - this.#bytes, use)) return false;
    this.#bytes = bytes;
    return true;
  }
}
