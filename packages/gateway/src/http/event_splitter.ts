/**
 * Cuts a byte stream of server-sent events into whole events, so that a caller
 * never gets a part of one. Line ends may be LF or CRLF.
 */

/** Whole events and the id of the last one. */
export interface WholeEvents {
  bytes: Buffer;
  count: number;
  /** The id of the last event that has one. */
  lastId?: string;
}

const EMPTY = Buffer.alloc(0);
const LF = 0x0a;
const CR = 0x0d;

/** Collects bytes until events are whole. */
export class EventSplitter {
  #pending: Buffer = EMPTY;
  #scanOffset = 0;

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds bytes; returns the events that are whole now. */
  push(chunk: Buffer): WholeEvents | undefined {
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
    // A blank line may be split over two chunks: look at its start again.
    this.#scanOffset = Math.max(0, this.#pending.length - 2);
    if (count === 0) return undefined;
    const bytes = data.subarray(0, end);
    return { bytes, count, lastId: lastIdOf(bytes) };
  }
}

/** End of the blank line that begins at `at`, or 0 when there is none. */
function endOfBlankLine(data: Buffer, at: number): number {
  if (data[at] === LF) return at + 1;
  return data[at] === CR && data[at + 1] === LF ? at + 2 : 0;
}

function lastIdOf(bytes: Buffer): string | undefined {
  const lines = bytes.toString("latin1").split(/\r?\n/);
  const line = lines.findLast((text) => text.startsWith("id:"));
  return line?.slice("id:".length).trim();
}
