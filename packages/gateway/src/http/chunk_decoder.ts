/**
 * Decodes a body in chunked transfer coding, which may arrive in any split, into
 * one piece for each read. Chunk extensions and trailers are validated as far as
 * their end requires, and dropped. Whatever the size of its chunks, a body costs
 * about the same for each byte received.
 */

/** State after some bytes of a chunked body. */
export enum ChunkScan {
  Incomplete = "incomplete",
  Complete = "complete",
  /** Not a chunked body. */
  Malformed = "malformed",
  /** More framing than any sensible client sends. */
  TooMuchFraming = "too_much_framing",
}

enum State {
  Size,
  Extension,
  SizeEnd,
  Data,
  DataCr,
  DataLf,
  TrailerStart,
  Trailer,
  TrailerLf,
  LastLf,
}

/** Framing allowed beside what the bytes of the body permit. */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Framing allowed for each byte of the body: chunks of one byte take 5. */
const MAX_FRAMING_RATIO = 8;
const MAX_SIZE_DIGITS = 8;
/** Longest extension or trailer line, as `node:http` allows it, in bytes. */
const MAX_LINE_BYTES = 16 * 1024;
const CR = 0x0d;
const LF = 0x0a;
const TAB = 0x09;
const SEMICOLON = 0x3b;

/** Decodes one chunked body. */
export class ChunkDecoder {
  /** Bytes that the last call has read. */
  readBytes = 0;
  #state = State.Size;
  #digits = 0;
  /** Bytes of the current chunk that are still missing. */
  #missing = 0;
  #lineBytes = 0;
  #bodyBytes = 0;
  #framingBytes = 0;

  /**
   * Decodes up to the end of the body or of `bytes`, and appends the content to
   * `out` from `at` on; returns the new end of `out`.
   */
  decode(bytes: Buffer, out: Buffer, at: number): [ChunkScan, number] {
    let end = at;
    let i = 0;
    let result = ChunkScan.Incomplete;
    while (i < bytes.length && result === ChunkScan.Incomplete) {
      if (this.#state === State.Data) {
        const count = Math.min(this.#missing, bytes.length - i);
        end += copy(bytes, i, count, out, end);
        i += count;
        this.#takeData(count);
      } else {
        result = this.#readFraming(bytes[i] as number);
        i += 1;
        this.#framingBytes += 1;
      }
    }
    this.readBytes = i;
    if (result === ChunkScan.Incomplete && this.#hasTooMuchFraming) {
      result = ChunkScan.TooMuchFraming;
    }
    return [result, end];
  }

  get #hasTooMuchFraming(): boolean {
    const maxBytes = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * this.#bodyBytes;
    return this.#framingBytes > maxBytes || this.#lineBytes > MAX_LINE_BYTES;
  }

  #takeData(count: number): void {
    this.#missing -= count;
    this.#bodyBytes += count;
    if (this.#missing === 0) this.#state = State.DataCr;
  }

  #readFraming(byte: number): ChunkScan {
    switch (this.#state) {
      case State.Size:
        return this.#readSize(byte);
      case State.Extension:
        return this.#readText(byte, State.SizeEnd);
      case State.SizeEnd:
        return this.#expect(byte, LF, this.#afterSize());
      case State.DataCr:
        return this.#expect(byte, CR, State.DataLf);
      case State.DataLf:
        return this.#expect(byte, LF, State.Size);
      case State.TrailerStart:
        this.#lineBytes = 0;
        if (byte !== CR) return this.#readText(byte, State.TrailerLf);
        this.#state = State.LastLf;
        return ChunkScan.Incomplete;
      case State.Trailer:
        return this.#readText(byte, State.TrailerLf);
      case State.TrailerLf:
        return this.#expect(byte, LF, State.TrailerStart);
      default:
        return byte === LF ? ChunkScan.Complete : ChunkScan.Malformed;
    }
  }

  #afterSize(): State {
    return this.#missing === 0 ? State.TrailerStart : State.Data;
  }

  #expect(byte: number, expected: number, next: State): ChunkScan {
    if (byte !== expected) return ChunkScan.Malformed;
    this.#state = next;
    if (next === State.Size) this.#digits = 0;
    return ChunkScan.Incomplete;
  }

  #readSize(byte: number): ChunkScan {
    const digit = hexDigit(byte);
    if (digit >= 0) {
      this.#missing = this.#digits === 0 ? digit : 16 * this.#missing + digit;
      this.#digits += 1;
      const isLong = this.#digits > MAX_SIZE_DIGITS;
      return isLong ? ChunkScan.Malformed : ChunkScan.Incomplete;
    }
    if (this.#digits === 0) return ChunkScan.Malformed;
    this.#lineBytes = 0;
    if (byte === SEMICOLON) this.#state = State.Extension;
    else if (byte === CR) this.#state = State.SizeEnd;
    else return ChunkScan.Malformed;
    return ChunkScan.Incomplete;
  }

  /** Skips text of a line, whose end leads to `next`. */
  #readText(byte: number, next: State): ChunkScan {
    if (byte === CR) {
      this.#state = next;
      return ChunkScan.Incomplete;
    }
    if (next === State.TrailerLf) this.#state = State.Trailer;
    this.#lineBytes += 1;
    const isText = byte === TAB || (byte >= 0x20 && byte !== 0x7f);
    return isText ? ChunkScan.Incomplete : ChunkScan.Malformed;
  }
}

/** Copies short pieces byte by byte, which is cheaper than a native call. */
function copy(
  from: Buffer,
  start: number,
  count: number,
  to: Buffer,
  at: number,
): number {
  if (count > 16) return from.copy(to, at, start, start + count);
  for (let i = 0; i < count; i += 1) to[at + i] = from[start + i] as number;
  return count;
}

function hexDigit(byte: number): number {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30;
  const letter = byte | 0x20;
  return letter >= 0x61 && letter <= 0x66 ? letter - 0x57 : -1;
}
