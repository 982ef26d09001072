/**
 * Splits a byte stream of server-sent events at event boundaries, so that a
 * caller never receives a partial event. Lines may end in LF or CRLF. Comments
 * and blank lines are passed on but don't count as events, since a stalled
 * server may send them forever.
 */

/** Bytes up to an event boundary. */
export interface CompleteEvents {
  bytes: Buffer;
  /** Number of events in `bytes`; 0 if there are only comments. */
  count: number;
  /** Id of the last event in `bytes` that has an id. */
  lastId?: string;
}

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const MIN_BUFFER_BYTES = 4096;

/** Buffers bytes until the event that they belong to is complete. */
export class EventSplitter {
  /** The incomplete event, at the start of a buffer that grows by doubling. */
  #buffer: Buffer = Buffer.alloc(0);
  #pendingBytes = 0;
  #scanOffset = 0;

  /** Number of buffered bytes, which belong to an incomplete event. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Adds bytes and returns those up to the last boundary, if there is one. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const buffered = this.#pendingBytes > 0;
    const data = buffered ? this.#append(chunk) : chunk;
    const { end, count } = scan(data, this.#scanOffset);
    // The buffer is reused, so what is returned from it is copied.
    const complete = data.subarray(0, end);
    const bytes = buffered && end > 0 ? Buffer.from(complete) : complete;
    this.#keep(data, end);
    if (end === 0) return undefined;
    return { bytes, count, lastId: lastIdOf(bytes) };
  }

  #append(chunk: Buffer): Buffer {
    const length = this.#pendingBytes + chunk.length;
    this.#reserve(length);
    chunk.copy(this.#buffer, this.#pendingBytes);
    return this.#buffer.subarray(0, length);
  }

  /** Keeps the bytes of `data` after `start`. */
  #keep(data: Buffer, start: number): void {
    const rest = data.subarray(start);
    this.#reserve(rest.length);
    if (rest.length > 0) rest.copy(this.#buffer);
    this.#pendingBytes = rest.length;
    // A blank line may be split over two chunks: rescan its first bytes.
    this.#scanOffset = Math.max(0, rest.length - 2);
  }

  #reserve(length: number): void {
    if (length <= this.#buffer.length) return;
    const size = Math.max(MIN_BUFFER_BYTES, 2 * this.#buffer.length, length);
    const grown = Buffer.allocUnsafe(size);
    this.#buffer.copy(grown, 0, 0, this.#pendingBytes);
    this.#buffer = grown;
  }
}

/** Finds the last event boundary and counts the events before it. */
function scan(data: Buffer, from: number): { end: number; count: number } {
  let end = 0;
  let count = 0;
  let at = data.indexOf(LF, from);
  while (at >= 0) {
    const next = endOfBlankLine(data, at + 1);
    if (next > 0) {
      if (hasContent(data, end, at)) count += 1;
      end = next;
    }
    at = data.indexOf(LF, Math.max(next, at + 1));
  }
  return { end, count };
}

/** Whether a line between `start` and `end` is neither blank nor a comment. */
function hasContent(data: Buffer, start: number, end: number): boolean {
  let at = start;
  while (at < end) {
    const byte = data[at];
    if (byte !== COLON && byte !== LF && byte !== CR) return true;
    const next = data.indexOf(LF, at);
    if (next < 0) return false;
    at = next + 1;
  }
  return false;
}

/** Returns the end of the blank line that starts at `at`, or 0 if none does. */
function endOfBlankLine(data: Buffer, at: number): number {
  if (data[at] === LF) return at + 1;
  return data[at] === CR && data[at + 1] === LF ? at + 2 : 0;
}

function lastIdOf(bytes: Buffer): string | undefined {
  const lines = bytes.toString("latin1").split(/\r?\n/);
  const line = lines.findLast((text) => text.startsWith("id:"));
  return line?.slice("id:".length).trim();
}
