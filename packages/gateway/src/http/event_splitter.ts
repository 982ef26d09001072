/**
 * Splits a byte stream of server-sent events at event boundaries, so that a
 * caller never receives a partial event. Lines may end in LF or CRLF.
 */

/** One or more complete events. */
export interface CompleteEvents {
  bytes: Buffer;
  count: number;
  /** Id of the last event in `bytes` that has an id. */
  lastId?: string;
}

const EMPTY = Buffer.alloc(0);
const LF = 0x0a;
const CR = 0x0d;

/** Buffers bytes until the event that they belong to is complete. */
export class EventSplitter {
  #pending: Buffer = EMPTY;
  #scanOffset = 0;

  /** Number of buffered bytes, which belong to an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds bytes and returns the events that they complete, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const data = this.#pending.length > 0
      ? Buffer.concat([this.#pending, chunk])
      : chunk;
    let end = 0;
    let count = 0;
    let at = data.indexOf(LF, this.#scanOffset);
    while (at >= 0) {
      const next = endOfBlankLine(data, at + 1);
      if (next > 0) {
        end = next;
        count += 1;
        at = data.indexOf(LF, next);
      } else {
        at = data.indexOf(LF, at + 1);
      }
    }
    this.#pending = data.subarray(end);
    // A blank line may be split over two chunks: rescan its first bytes.
    this.#scanOffset = Math.max(0, this.#pending.length - 2);
    if (count === 0) return undefined;
    const bytes = data.subarray(0, end);
    return { bytes, count, lastId: lastIdOf(bytes) };
  }
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
