/**
 * Bounds the heap that connections of callers and requests in progress take. A
 * header of a few bytes becomes objects of many times its size, so that heads
 * within their limit of bytes may fill the heap, whose limit ends the process.
 */
import { getHeapStatistics } from "node:v8";
import type { RawHeaders } from "./wire_codec.ts";

/** Part of the heap for connections and for requests in progress. */
const HEAP_SHARE = 0.5;
/** Heap for the objects of a connection, in bytes. */
const CONNECTION_HEAP_BYTES = 8 * 1024;
/** Heap for the objects of a request beside its head, in bytes. */
const REQUEST_HEAP_BYTES = 16 * 1024;
/** Heap for the objects of a header beside its text, in bytes. */
const HEADER_HEAP_BYTES = 80;

/** Heap for connections and for requests in progress. */
export class RequestMemory {
  readonly #maxBytes: number;
  readonly #onChange: (usedBytes: number) => void;
  #usedBytes = 0;

  /**
   * `heapBytes` is the heap of the process, by default the limit of its heap;
   * `onChange` gets the estimated heap in use after each change.
   */
  constructor(
    heapBytes = getHeapStatistics().heap_size_limit,
    onChange: (usedBytes: number) => void = () => {},
  ) {
    this.#maxBytes = HEAP_SHARE * heapBytes;
    this.#onChange = onChange;
  }

  /** Estimated heap in use, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Accounts for a connection, which leaves less for requests. */
  holdConnection(): void {
    this.#use(CONNECTION_HEAP_BYTES);
  }

  /** Takes back what `holdConnection` has accounted for. */
  releaseConnection(): void {
    this.#use(-CONNECTION_HEAP_BYTES);
  }

  /** Whether a request with a head of this size would fit. */
  fits(headBytes: number, headerLines: number): boolean {
    const bytes = estimateHeapBytes(headBytes, headerLines);
    return this.#usedBytes + bytes <= this.#maxBytes;
  }

  /** Accounts for a request with this head; false if it doesn't fit. */
  hold(headers: RawHeaders): boolean {
    const bytes = heapBytesOf(headers);
    if (this.#usedBytes + bytes > this.#maxBytes) return false;
    this.#use(bytes);
    return true;
  }

  /** Takes back what `hold` has accounted for. */
  release(headers: RawHeaders): void {
    this.#use(-heapBytesOf(headers));
  }

  #use(bytes: number): void {
    this.#usedBytes += bytes;
    this.#onChange(this.#usedBytes);
  }
}

function heapBytesOf(headers: RawHeaders): number {
  const textBytes = headers.reduce((sum, text) => sum + text.length, 0);
  return estimateHeapBytes(textBytes, headers.length / 2);
}

function estimateHeapBytes(textBytes: number, headerLines: number): number {
  return REQUEST_HEAP_BYTES + textBytes + HEADER_HEAP_BYTES * headerLines;
}
