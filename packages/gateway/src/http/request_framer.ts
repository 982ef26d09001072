/**
 * Divides the bytes of one connection into requests, incrementally and without
 * parsing more than their framing needs. It stops at the end of each request:
 * what follows isn't read before the caller asks for the next one. Input that it
 * can't frame with certainty ends the framing, so that nothing behind such input
 * is ever treated as a request.
 */
import { ChunkDecoder, ChunkScan } from "./chunk_decoder.ts";
import { BodyLength, HeadScan, HeadScanner } from "./head_scanner.ts";

/** Why input is rejected. */
export enum FramingFault {
  /** A head with too many bytes or lines. */
  HeadTooLarge = "head_too_large",
  /** Too many empty lines before a request. */
  EmptyLines = "empty_lines",
  /** Chunks with too long extensions or trailers. */
  ChunkFraming = "chunk_framing",
}

/** A complete request head. */
export interface FramedHead {
  bytes: Buffer;
  /** Number of bytes that `onHeadStart` has received already, 0 or 1. */
  startedBytes: number;
  /** Number of header lines. */
  headerLines: number;
}

/** Receives what the framer reads. */
export interface FramerSink {
  /** The first byte of a head that has not arrived completely. */
  onHeadStart: (firstByte: Buffer) => void;
  /** A complete head. */
  onHead: (head: FramedHead) => void;
  /** Bytes of a body in the coding that its head declares. */
  onBody: (bytes: Buffer) => void;
  /** Bytes that can't be framed with certainty are next; nothing follows. */
  onAmbiguous: (bytes: Buffer) => void;
  /** Input beyond a limit; nothing else follows. */
  onFault: (fault: FramingFault) => void;
}

/** Limits of a head. */
export interface HeadLimits {
  maxBytes: number;
  maxHeaderLines: number;
}

/** What the framer expects next. */
export enum FramerState {
  Head = "head",
  DeclaredBody = "declared_body",
  ChunkedBody = "chunked_body",
  /** A request is complete; see {@link RequestFramer.startNext}. */
  Complete = "complete",
  /** The framing has ended for good. */
  Ended = "ended",
}

/** Empty lines that a client may send before a request, in bytes. */
const MAX_EMPTY_BYTES = 1024;
const MIN_HEAD_BUFFER_BYTES = 1024;
const CR = 0x0d;
const LF = 0x0a;
/** Digits of the size line that is written before each decoded piece. */
const SIZE_DIGITS = 8;
const SIZE_LINE_BYTES = SIZE_DIGITS + 2;
const LAST_CHUNK = Buffer.from("0\r\n\r\n");
/** No chunk size; `node:http` rejects the request for it. */
export const MALFORMED_CHUNK = Buffer.from("!\r\n");

/** Frames the requests of one connection. */
export class RequestFramer {
  readonly #sink: FramerSink;
  readonly #limits: () => HeadLimits;
  #state = FramerState.Head;
  #emptyBytes = 0;
  #scanner: HeadScanner | undefined;
  /** Start of a head that has not arrived completely. */
  #head: Buffer | undefined;
  #headBytes = 0;
  #missingBytes = 0;
  #decoder: ChunkDecoder | undefined;

  constructor(sink: FramerSink, limits: () => HeadLimits) {
    this.#sink = sink;
    this.#limits = limits;
  }

  get state(): FramerState {
    return this.#state;
  }

  /** Memory held for a head that has not arrived completely, in bytes. */
  get heldBytes(): number {
    return this.#head?.length ?? 0;
  }

  /** Expects another request after a complete one. */
  startNext(): void {
    if (this.#state === FramerState.Complete) this.#state = FramerState.Head;
  }

  /** Ends the framing for good. */
  end(): void {
    this.#state = FramerState.Ended;
    this.#head = undefined;
    this.#scanner = undefined;
    this.#decoder = undefined;
  }

  /** Reads bytes of the current request; returns the number that were read. */
  read(bytes: Buffer): number {
    switch (this.#state) {
      case FramerState.Head:
        return this.#readHead(bytes);
      case FramerState.DeclaredBody:
        return this.#readDeclared(bytes);
      case FramerState.ChunkedBody:
        return this.#readChunks(bytes);
      case FramerState.Complete:
        return 0;
      default:
        return bytes.length;
    }
  }

  #readHead(bytes: Buffer): number {
    const skipped = this.#scanner ? 0 : this.#skipEmptyLines(bytes);
    if (this.#emptyBytes > MAX_EMPTY_BYTES) {
      this.#fail(FramingFault.EmptyLines);
      return bytes.length;
    }
    if (skipped === bytes.length) return skipped;
    const before = this.#headBytes;
    const { maxBytes } = this.#limits();
    const added = bytes.subarray(skipped, skipped + maxBytes + 1 - before);
    const head = this.#head ? this.#append(added) : added;
    const scanner = this.#scanner ??= new HeadScanner();
    const result = scanner.scan(head, before);
    if (result !== HeadScan.Incomplete) {
      this.#finishHead(head, scanner, result);
      return skipped + scanner.bytes - before;
    }
    if (this.#isTooLarge(head.length, scanner)) {
      this.#fail(FramingFault.HeadTooLarge);
      return bytes.length;
    }
    if (!this.#head) {
      this.#append(added);
      this.#sink.onHeadStart(added.subarray(0, 1));
    }
    return skipped + added.length;
  }

  #skipEmptyLines(bytes: Buffer): number {
    let count = 0;
    while (bytes[count] === CR || bytes[count] === LF) count += 1;
    this.#emptyBytes += count;
    return count;
  }

  /** Appends to the head that has arrived before; returns the whole. */
  #append(added: Buffer): Buffer {
    const size = this.#headBytes + added.length;
    if (!this.#head || this.#head.length < size) {
      const capacity = Math.max(MIN_HEAD_BUFFER_BYTES, 2 * this.#headBytes);
      const larger = Buffer.allocUnsafeSlow(Math.max(size, capacity));
      this.#head?.copy(larger, 0, 0, this.#headBytes);
      this.#head = larger;
    }
    added.copy(this.#head, this.#headBytes);
    this.#headBytes = size;
    return this.#head.subarray(0, size);
  }

  #isTooLarge(bytes: number, { lines }: HeadScanner): boolean {
    const { maxBytes, maxHeaderLines } = this.#limits();
    return bytes > maxBytes || lines > maxHeaderLines + 1;
  }

  #finishHead(head: Buffer, scanner: HeadScanner, result: HeadScan): void {
    const bytes = head.subarray(0, scanner.bytes);
    const startedBytes = this.#head ? 1 : 0;
    this.#scanner = undefined;
    this.#head = undefined;
    this.#headBytes = 0;
    this.#emptyBytes = 0;
    if (this.#isTooLarge(bytes.length, scanner)) {
      this.#fail(FramingFault.HeadTooLarge);
      return;
    }
    if (result === HeadScan.Ambiguous) {
      this.end();
      this.#sink.onAmbiguous(bytes.subarray(startedBytes));
      return;
    }
    this.#startBody(scanner);
    const headerLines = scanner.lines - 1;
    this.#sink.onHead({ bytes, startedBytes, headerLines });
  }

  #startBody({ bodyLength, declaredBytes }: HeadScanner): void {
    if (bodyLength === BodyLength.Chunked) {
      this.#decoder = new ChunkDecoder();
      this.#state = FramerState.ChunkedBody;
      return;
    }
    this.#missingBytes = declaredBytes;
    this.#state = declaredBytes > 0
      ? FramerState.DeclaredBody
      : FramerState.Complete;
  }

  #readDeclared(bytes: Buffer): number {
    const body = bytes.subarray(0, this.#missingBytes);
    this.#missingBytes -= body.length;
    if (this.#missingBytes === 0) this.#state = FramerState.Complete;
    this.#sink.onBody(body);
    return body.length;
  }

  #readChunks(bytes: Buffer): number {
    const decoder = this.#decoder as ChunkDecoder;
    const out = Buffer.allocUnsafe(SIZE_LINE_BYTES + bytes.length + 2);
    const [result, end] = decoder.decode(bytes, out, SIZE_LINE_BYTES);
    if (end > SIZE_LINE_BYTES) this.#sink.onBody(asChunk(out, end));
    this.#finishChunks(result);
    return decoder.readBytes;
  }

  #finishChunks(result: ChunkScan): void {
    const isOver = this.#state === FramerState.Ended;
    if (isOver || result === ChunkScan.Incomplete) return;
    if (result === ChunkScan.TooMuchFraming) {
      this.#fail(FramingFault.ChunkFraming);
      return;
    }
    if (result === ChunkScan.Malformed) {
      this.end();
      this.#sink.onAmbiguous(MALFORMED_CHUNK);
      return;
    }
    this.#decoder = undefined;
    this.#state = FramerState.Complete;
    this.#sink.onBody(LAST_CHUNK);
  }

  #fail(fault: FramingFault): void {
    this.end();
    this.#sink.onFault(fault);
  }
}

/** Writes size line and end around the content of a chunk. */
function asChunk(out: Buffer, end: number): Buffer {
  const size = (end - SIZE_LINE_BYTES).toString(16).padStart(SIZE_DIGITS, "0");
  out.write(`${size}\r\n`, 0, "latin1");
  out.write("\r\n", end, "latin1");
  return out.subarray(0, end + 2);
}
