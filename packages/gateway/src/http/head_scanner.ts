/**
 * Finds the end of one request head, which may arrive in any split, and what
 * determines the length of its body. It reads each byte once and keeps no text
 * of headers; `node:http` parses the head again when it is complete. A head
 * whose end or body length is not certain is ambiguous.
 */

/** How the end of a request is found. */
export enum BodyLength {
  Declared = "declared",
  Chunked = "chunked",
}

/** What was found out about the bytes so far. */
export enum HeadScan {
  Incomplete = "incomplete",
  Complete = "complete",
  /** Line ends or lengths that another parser may understand differently. */
  Ambiguous = "ambiguous",
}

const CR = 0x0d;
const LF = 0x0a;
const SPACE = 0x20;
const TAB = 0x09;
const LOWER_C = 0x63;
const LOWER_T = 0x74;
/** Bit in which lower and upper case letters differ. */
const CASE_BIT = 0x20;
const VERSION = /^[A-Z-]+ \S+ HTTP\/1\.([01])$/;
const LENGTH_HEADER = /^(content-length|transfer-encoding)[ \t]*:(.*)$/is;
/** Longer numbers are not exact. */
const LENGTH_VALUE = /^\d{1,15}$/;

/** Scans one request head. */
export class HeadScanner {
  /** Number of lines so far, the request line included. */
  lines = 0;
  /** Length of the head with the empty line that ends it, in bytes. */
  bytes = 0;
  bodyLength = BodyLength.Declared;
  /** Declared length of the body, in bytes. */
  declaredBytes = 0;
  #lineStart = 0;
  #previous = 0;
  #lengthHeaders = 0;
  #isHttp11 = false;

  /**
   * Scans `head` from `from` on, where the previous call ended; the bytes before
   * it must be the same as in that call.
   */
  scan(head: Buffer, from: number): HeadScan {
    for (let i = from; i < head.length; i += 1) {
      const byte = head[i] as number;
      const follows = this.#previous === CR;
      this.#previous = byte;
      if (follows !== (byte === LF)) return this.#end(i, HeadScan.Ambiguous);
      if (!follows) continue;
      const length = i - 1 - this.#lineStart;
      if (length === 0) return this.#end(i, this.#complete());
      const isCertain = this.#readLine(head, i - 1);
      if (!isCertain) return this.#end(i, HeadScan.Ambiguous);
      this.lines += 1;
      this.#lineStart = i + 1;
    }
    return HeadScan.Incomplete;
  }

  #end(at: number, result: HeadScan): HeadScan {
    this.bytes = at + 1;
    return result;
  }

  #complete(): HeadScan {
    const isCertain = this.lines > 0 && this.#lengthHeaders <= 1 &&
      (this.#isHttp11 || this.bodyLength === BodyLength.Declared);
    return isCertain ? HeadScan.Complete : HeadScan.Ambiguous;
  }

  /** Reads the line that ends before `to`; false if it is ambiguous. */
  #readLine(head: Buffer, to: number): boolean {
    if (this.lines === 0) return this.#readRequestLine(head, to);
    const first = head[this.#lineStart] as number;
    if (first === SPACE || first === TAB) return false;
    const letter = first | CASE_BIT;
    if (letter !== LOWER_C && letter !== LOWER_T) return true;
    const line = head.toString("latin1", this.#lineStart, to);
    const [, name, value] = LENGTH_HEADER.exec(line) ?? [];
    if (name === undefined || value === undefined) return true;
    return this.#readLength(name.toLowerCase(), value.trim());
  }

  #readRequestLine(head: Buffer, to: number): boolean {
    const line = head.toString("latin1", this.#lineStart, to);
    const minor = VERSION.exec(line)?.[1];
    this.#isHttp11 = minor === "1";
    return minor !== undefined && !line.startsWith("CONNECT ");
  }

  #readLength(name: string, value: string): boolean {
    this.#lengthHeaders += 1;
    if (name === "content-length") {
      this.declaredBytes = Number(value);
      return LENGTH_VALUE.test(value);
    }
    this.bodyLength = BodyLength.Chunked;
    return value.toLowerCase() === "chunked";
  }
}
