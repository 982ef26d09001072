/**
 * The connections of callers and the requests that are in progress on each.
 * `node:http` reads all that a caller sends before its responses, and tells only
 * the first of several requests that the connection has closed. Heads that are
 * still arriving are known only by the bytes on their connections; the longest are
 * closed if all together would fill the heap, whose limit ends the process. A
 * connection with a request in progress is closed after its response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { getHeapStatistics } from "node:v8";
import type { CallerInput } from "./caller_input.ts";

/** Longest head of a request, in bytes. */
export const MAX_REQUEST_HEAD_BYTES = 64 * 1024;
/** Part of the heap for heads that are still arriving. */
const ARRIVING_HEAP_SHARE = 0.2;
/** Heap for each byte of a head that is still arriving. */
const HEAP_PER_ARRIVING_BYTE = 6;
/** Connections of callers at once, where descriptors aren't known. */
const DEFAULT_MAX_CONNECTIONS = 2_600;
/** Connections looked at to find one that can be closed for a new one. */
const MAX_EXAMINED = 100;
/** How often heads that are still arriving are measured, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  /** Heap of the process, in bytes. @default the limit of its heap */
  heapBytes?: number;
  /** Connections at once. @default 2600 */
  maxConnections?: number | undefined;
  /** Called with the number of connections closed for their long heads. */
  onHeadsClosed: (connections: number) => void;
  /** Called when a connection is closed because there are too many. */
  onLimit?: (closed: ClosedForLimit) => void;
}

/** Which connection is closed when there are too many. */
export enum ClosedForLimit {
  /** One without a request that has been read, inactive for longest. */
  Inactive = "inactive",
  /** The new one. */
  New = "new",
}

/** A request in progress. */
export interface TrackedRequest {
  /** Aborts when the response is complete or the connection has closed. */
  signal: AbortSignal;
  /** Notes that the request has been read completely. */
  noteRead: () => void;
  /** Requests in progress on the connection, this one included. */
  pipelined: number;
}

/** Connections of callers. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #maxArrivingBytes: number;
  readonly #connections = new Map<Socket, CallerConnection>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
    const { heapBytes = getHeapStatistics().heap_size_limit } = options;
    this.#maxArrivingBytes = ARRIVING_HEAP_SHARE * heapBytes;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /**
   * Adds a new connection, and its input if that is framed before `node:http`.
   * Closes another one, or the new one, if there are too many.
   */
  add(socket: Socket, input?: CallerInput): void {
    const { maxConnections = DEFAULT_MAX_CONNECTIONS } = this.#options;
    if (this.size >= maxConnections) this.#makeRoomFor(socket);
    if (socket.destroyed) return;
    const connection = new CallerConnection(socket, input);
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      connection.close();
    });
    this.#scheduleCheck();
  }

  /** Tracks a request whose head has arrived. */
  track(req: IncomingMessage, res: ServerResponse): TrackedRequest {
    const connection = this.#connections.get(req.socket);
    const isAccepted = connection?.input?.acceptRequest() ?? true;
    if (connection && isAccepted) {
      this.#moveToEnd(req.socket);
      return connection.track(req, res);
    }
    const signal = AbortSignal.abort();
    return { signal, noteRead: () => {}, pipelined: 1 };
  }

  /** Closes every connection immediately. */
  destroy(): void {
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  /** Whether a connection must close after its next response. */
  isClosing(socket: Socket): boolean {
    return this.#connections.get(socket)?.input?.isClosing ?? false;
  }

  /** Pauses the input of every connection. */
  pauseInput(): void {
    for (const { input } of this.#connections.values()) input?.updateFlow();
  }

  /**
   * Resumes the input of at most `count` connections; true if there may be more
   * that are paused.
   */
  resumeInput(count: number): boolean {
    let resumed = 0;
    for (const [socket, { input }] of [...this.#connections]) {
      if (!input?.isPaused) continue;
      if (resumed === count) return true;
      input.updateFlow();
      if (input.isPaused) continue;
      resumed += 1;
      this.#moveToEnd(socket);
    }
    return false;
  }

  /** Makes others the ones that were inactive for longest. */
  #moveToEnd(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (!connection) return;
    this.#connections.delete(socket);
    this.#connections.set(socket, connection);
  }

  /** Closes the connection that was inactive for longest, or the new one. */
  #makeRoomFor(newSocket: Socket): void {
    const oldest = [...firstOf(this.#connections.values(), MAX_EXAMINED)];
    const inactive = oldest.find((it) => !it.hasReadRequest);
    if (!inactive) { for (const { socket } of oldest) this.#moveToEnd(socket); }
    this.#options.onLimit?.(
      inactive ? ClosedForLimit.Inactive : ClosedForLimit.New,
    );
    const closed = inactive?.socket ?? newSocket;
    // It is told that it has closed only later.
    this.#connections.delete(closed);
    closed.destroy();
  }

  /** Few connections can't have heads that take too much. */
  #scheduleCheck(): void {
    const mostBytes = this.size * HEAP_PER_ARRIVING_BYTE *
      MAX_REQUEST_HEAD_BYTES;
    if (this.#timer || mostBytes <= this.#maxArrivingBytes) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.closeLongestHeads();
      this.#scheduleCheck();
    }, CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /**
   * Closes the connections with the longest heads, or with the most input behind
   * a request, until the others have `maxBytes`. @default what fits in the heap
   */
  closeLongestHeads(
    maxBytes = this.#maxArrivingBytes / HEAP_PER_ARRIVING_BYTE,
  ): void {
    const connections = [...this.#connections.values()];
    let excessBytes = -maxBytes;
    for (const { arrivingBytes } of connections) excessBytes += arrivingBytes;
    if (excessBytes <= 0) return;
    connections.sort((a, b) => b.arrivingBytes - a.arrivingBytes);
    let closed = 0;
    for (const { socket, input, arrivingBytes } of connections) {
      if (excessBytes <= 0) break;
      excessBytes -= arrivingBytes;
      closed += 1;
      if (!input?.discardBlocked()) socket.destroy();
    }
    this.#options.onHeadsClosed(closed);
  }
}

/** One connection. */
class CallerConnection {
  readonly socket: Socket;
  readonly input: CallerInput | undefined;
  /** Aborted when their requests are over. */
  readonly #requests = new Set<AbortController>();
  /** Those of them that have been read completely. */
  readonly #read = new Set<AbortController>();
  /** Requests and responses that aren't complete. */
  #incomplete = 0;
  /** Bytes that had been received before the head that arrives. */
  #bytesBefore = 0;

  constructor(socket: Socket, input: CallerInput | undefined) {
    this.socket = socket;
    this.input = input;
  }

  /**
   * Bytes of the head that is still arriving, and of input that is held behind a
   * request in progress. Without framed input 0 while a body may arrive.
   */
  get arrivingBytes(): number {
    if (this.input) return this.input.waitingBytes;
    return this.#incomplete > 0 ? 0 : this.socket.bytesRead - this.#bytesBefore;
  }

  /** Whether a request is in progress that has been read completely. */
  get hasReadRequest(): boolean {
    return this.#read.size > 0;
  }

  track(req: IncomingMessage, res: ServerResponse): TrackedRequest {
    const controller = new AbortController();
    this.#requests.add(controller);
    res.once("close", () => this.#end(controller));
    // The rest of a body may come after the response.
    for (const message of [req, res]) {
      this.#incomplete += 1;
      message.once("close", () => {
        this.#incomplete -= 1;
        this.#bytesBefore = this.socket.bytesRead;
        if (this.#incomplete === 0) this.input?.endRequest();
      });
    }
    const { signal } = controller;
    const noteRead = () => void (signal.aborted || this.#read.add(controller));
    return { signal, noteRead, pipelined: this.#requests.size };
  }

  /** Ends all requests in progress. */
  close(): void {
    for (const controller of [...this.#requests]) this.#end(controller);
  }

  #end(controller: AbortController): void {
    this.#read.delete(controller);
    if (this.#requests.delete(controller)) controller.abort();
  }
}

/** The first `count` items. */
function* firstOf<T>(items: Iterable<T>, count: number): Generator<T> {
  let left = count;
  for (const item of items) {
    if (left === 0) return;
    left -= 1;
    yield item;
  }
}
