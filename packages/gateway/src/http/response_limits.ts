/**
 * Bounds on what a backend server may send as one response. A faulty server may
 * send bytes without end that never make up a response: in a status line, in
 * interim responses, in chunk extensions, in an event. The HTTP parser accepts
 * some of these forever, so the bytes on the connection are counted as well.
 */
import type { Socket } from "node:net";

/** Longest response head, interim responses included, in bytes. */
export const MAX_HEAD_BYTES = 64 * 1024;
/** Bytes beside the body that a response may have after its head. */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Framing allowed for each byte of the body: chunks of one byte take 6. */
const MAX_FRAMING_RATIO = 8;
/** Longest buffered response, in bytes. */
export const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Longest event of a stream, in bytes. */
export const MAX_EVENT_BYTES = 256 * 1024;
/** Longest error response to a stream request, in bytes. */
export const MAX_ERROR_BYTES = 1024 * 1024;

/** Progress of a response, as the bytes on its connection show it. */
export interface ResponseProgress {
  /** The final status line and its headers have arrived. */
  hasHead: boolean;
  /** Bytes received on the connection since the request was sent. */
  receivedBytes: number;
  bodyBytes: number;
}

/** Returns which bound a response exceeds, or undefined. */
export function exceededLimit(progress: ResponseProgress): string | undefined {
  const { hasHead, receivedBytes, bodyBytes } = progress;
  if (!hasHead) {
    return receivedBytes > MAX_HEAD_BYTES
      ? `response head longer than ${MAX_HEAD_BYTES} bytes`
      : undefined;
  }
  const maxBytes = bodyBytes + MAX_FRAMING_BYTES +
    MAX_FRAMING_RATIO * bodyBytes;
  return receivedBytes > maxBytes
    ? `${receivedBytes} bytes received for a body of ${bodyBytes}`
    : undefined;
}

/** The connection of one HTTP client, and the call that uses it. */
export class ConnectionBytes {
  #socket: Socket | undefined;
  #onBytes: (() => void) | undefined;

  /** Total number of bytes received on the current socket. */
  get received(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Bytes of requests that the host has not taken over yet. */
  get unsent(): number {
    return this.#socket?.writableLength ?? 0;
  }

  /** Replaces the socket after a connect. */
  attach(socket: Socket): void {
    this.#socket = socket;
    socket.prependListener("readable", () => {
      if (this.#socket === socket) this.#onBytes?.();
    });
  }

  /** Calls `onBytes` whenever bytes arrive, until `unwatch`. */
  watch(onBytes: () => void): void {
    this.#onBytes = onBytes;
  }

  /** Ends the calls of `onBytes`, unless another call uses the connection. */
  unwatch(onBytes: () => void): void {
    if (this.#onBytes === onBytes) this.#onBytes = undefined;
  }
}
