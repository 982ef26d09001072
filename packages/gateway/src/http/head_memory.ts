/**
 * Bounds the heap that heads of requests take. A header of a few bytes becomes
 * objects of many times its size, so that heads within their limit of bytes may
 * fill the heap, whose limit ends the process. Heads that have arrived count
 * until their response; those that are still arriving are known only by the bytes
 * on their connections, and the longest are closed if they take too much.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { getHeapStatistics } from "node:v8";
import type { RawHeaders } from "./wire_codec.ts";

/** Part of the heap for heads that have arrived, and for those that arrive. */
const HEAP_SHARE = 0.25;
/** Heap for the objects of a header beside its text, in bytes. */
const HEADER_HEAP_BYTES = 80;
/** Heap for each byte of a head that is still arriving. */
const HEAP_PER_ARRIVING_BYTE = 6;

/** How often the heads that are still arriving are measured, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Longest head, in bytes. */
export const MAX_HEAD_BYTES = 64 * 1024;
/** Number of headers that a head may have. */
export const MAX_HEADERS = 1_000;

/** Options of {@link HeadMemory}. */
export interface HeadMemoryOptions {
  /**
   * Bound on the heap for the heads that have arrived, and on that for those
   * that arrive; in bytes. @default a quarter of the heap each
   */
  maxBytes?: number;
  /** Called with the number of connections that were closed. */
  onClosed: (connections: number) => void;
}

/** Heap for the heads of requests. */
export class HeadMemory {
  readonly #maxBytes: number;
  readonly #onClosed: (connections: number) => void;
  readonly #arriving = new Map<Socket, ArrivingHead>();
  #usedBytes = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor({ maxBytes, onClosed }: HeadMemoryOptions) {
    const heapBytes = getHeapStatistics().heap_size_limit;
    this.#maxBytes = maxBytes ?? HEAP_SHARE * heapBytes;
    this.#onClosed = onClosed;
  }

  /** Heap for the heads that have arrived, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Accounts for a head that has arrived; false if it doesn't fit. */
  hold(headers: RawHeaders): boolean {
    const usedBytes = this.#usedBytes + heapBytesOf(headers);
    if (usedBytes > this.#maxBytes) return false;
    this.#usedBytes = usedBytes;
    return true;
  }

  /** Takes back what `hold` has accounted for. */
  release(headers: RawHeaders): void {
    this.#usedBytes -= heapBytesOf(headers);
  }

  /** The next bytes on a new connection are those of a head. */
  addConnection(socket: Socket): void {
    this.#arriving.set(socket, { fromBytes: 0, pending: 0 });
    socket.once("close", () => this.#arriving.delete(socket));
    this.#scheduleCheck();
  }

  /**
   * A head has arrived. Until the request has been read and answered, more bytes
   * may be its body; the rest of a body may come after the response.
   */
  startRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const head = this.#arriving.get(socket);
    if (!head) return;
    const end = () => {
      head.pending -= 1;
      head.fromBytes = socket.bytesRead;
    };
    for (const message of [req, res]) {
      head.pending += 1;
      message.once("close", end);
    }
  }

  /** Few connections can't have heads that take too much. */
  #scheduleCheck(): void {
    const most = this.#arriving.size * HEAP_PER_ARRIVING_BYTE * MAX_HEAD_BYTES;
    if (this.#timer || most <= this.#maxBytes) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#closeLongest();
      this.#scheduleCheck();
    }, CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Closes the connections with the longest heads until the others fit. */
  #closeLongest(): void {
    const heads = this.#measureArriving();
    let excessBytes = -this.#maxBytes;
    for (const { heapBytes } of heads) excessBytes += heapBytes;
    if (excessBytes <= 0) return;
    heads.sort((a, b) => b.heapBytes - a.heapBytes);
    let closed = 0;
    for (const { socket, heapBytes } of heads) {
      if (excessBytes <= 0) break;
      excessBytes -= heapBytes;
      closed += 1;
      socket.destroy();
    }
    this.#onClosed(closed);
  }

  #measureArriving(): { socket: Socket; heapBytes: number }[] {
    return [...this.#arriving]
      .filter(([_socket, { pending }]) => pending === 0)
      .map(([socket, { fromBytes }]) => ({
        socket,
        heapBytes: HEAP_PER_ARRIVING_BYTE * (socket.bytesRead - fromBytes),
      }));
  }
}

/** What a connection carries. */
interface ArrivingHead {
  /** Bytes that the connection had received before the head. */
  fromBytes: number;
  /** Requests and responses that aren't complete. */
  pending: number;
}

function heapBytesOf(headers: RawHeaders): number {
  const textBytes = headers.reduce((sum, text) => sum + text.length, 0);
  return textBytes + HEADER_HEAP_BYTES * headers.length / 2;
}
