/**
 * The HTTP server for callers. It reads each request completely, within the
 * limits of the active configuration, before it is handled. To prevent request
 * smuggling, `node:http` rejects requests whose length is ambiguous, and each
 * body is forwarded with a newly computed Content-Length.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  errorMessage,
  listen,
  type ListenAddress,
  listenWhenFree,
  type Logger,
} from "@sassafrascleat/runtime";
import type { CallerLimits } from "../config/routing_table.ts";
import { BodyFailure, discardBody, readBody } from "./body_reader.ts";
import {
  CallerConnections,
  type ClosedForLimit,
  MAX_REQUEST_HEAD_BYTES,
  type TrackedRequest,
} from "./caller_connections.ts";
import { CallerInput, type InputRejection } from "./caller_input.ts";
import { InputMemory } from "./input_memory.ts";
import { InputRejections } from "./input_rejections.ts";
import { findHeader, LeanRequest } from "./lean_request.ts";
import type { MemoryBudget } from "./memory_budget.ts";
import { RequestMemory } from "./request_memory.ts";
import { HttpResponder } from "./responder.ts";
import { STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE } from "./status.ts";
import { TurnBudget } from "./turn_budget.ts";
import type { RawHeaders } from "./wire_codec.ts";

/** A request whose body has not been read. */
export interface RequestHead {
  method: string;
  target: string;
  host: string;
  headers: RawHeaders;
}

/** A response without a body to a request that is not read. */
export interface HeadRejection {
  status: number;
  headers: RawHeaders;
}

/** A request that has been read completely. */
export interface IngressRequest extends RequestHead {
  body: Buffer;
  arrivedMs: number;
  /** Aborts when the connection to the caller closes. */
  signal: AbortSignal;
  responder: HttpResponder;
}

type UnreadRequest = Omit<IngressRequest, "body"> & {
  noteRead: () => void;
};

/** Handles one request; the promise settles after the response. */
export type IngressHandler = (req: IngressRequest) => Promise<void>;

/** Options of {@link Ingress}. */
export interface IngressOptions {
  log: Logger;
  now: () => number;
  handler: IngressHandler;
  /**
   * Returns the response to a request that is rejected before its body is read.
   * @default no request is rejected
   */
  rejectHead?: (head: RequestHead) => HeadRejection | undefined;
  /** Returns true when each connection must close after its next response. */
  closing: () => boolean;
  /** Aborts when requests must end because the process is about to exit. */
  exitSignal: AbortSignal;
  /** Connections of callers at once. @default 2600 */
  maxConnections?: number | undefined;
  /** Called for each connection that is closed because there are too many. */
  onConnectionLimit?: (closed: ClosedForLimit) => void;
  /** Memory for the bodies of requests and for output that isn't read. */
  memory: MemoryBudget;
  /** Builds the headers that refuse a request for lack of memory. */
  buildNoMemoryHeaders: (headers: RawHeaders) => RawHeaders;
  /** Called for each input that is rejected before it is parsed. */
  onInputRejected?: (reason: InputRejection) => void;
}

/** Bytes that the request line may take beside the headers. */
const MAX_REQUEST_LINE_BYTES = 16 * 1024;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/**
 * Added to the configured idle timeout, so that callers stop reusing an idle
 * connection before this side closes it.
 */
const IDLE_MARGIN_MS = 1_000;
const BODY_TIMEOUT_MS = 20_000;
/**
 * Requests without a response that a connection may have. node:http reads all
 * that a caller pipelines, however many responses are due.
 */
const MAX_PIPELINED_REQUESTS = 100;
/**
 * What a byte of heap for callers takes of the memory for peers, so that many
 * requests leave less for bodies. Half, as bytes held take twice as much resident
 * memory until they are collected.
 */
const BUDGET_PER_HEAP_BYTE = 0.5;
/** Number of headers that a request may have. */
const MAX_HEADERS = 1_000;
/** How often input is discarded while its memory is full, in milliseconds. */
const RELIEF_INTERVAL_MS = 100;
/** Input of one connection that is read at once, in bytes. */
const BYTES_PER_READ = 64 * 1024;
/** How often the input of further connections is resumed, in milliseconds. */
const RESUME_INTERVAL_MS = 5;
const STATUS_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;

/** HTTP server that accepts requests from callers. */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #server: Server;
  readonly #connections: CallerConnections;
  readonly #requests: RequestMemory;
  readonly #turns = new TurnBudget();
  readonly #inputMemory: InputMemory;
  readonly #rejections: InputRejections;
  /** For requests that have not been read completely. */
  readonly #unread = new Set<HttpResponder>();
  #limits = DEFAULT_LIMITS;
  #inProgress = 0;
  /** Timer that resumes the input of further connections. */
  #resuming: NodeJS.Timeout | undefined;

  constructor(options: IngressOptions) {
    this.#options = options;
    const heap = options.memory.open();
    this.#requests = new RequestMemory(
      undefined,
      (bytes) => heap.holdOutput(BUDGET_PER_HEAP_BYTE * bytes),
    );
    this.#connections = new CallerConnections({
      maxConnections: options.maxConnections,
      onHeadsClosed: (connections) =>
        options.log("heads_closed", { connections }),
      onLimit: (closed) => this.#noteConnectionLimit(closed),
    });
    this.#inputMemory = new InputMemory({
      onChange: (isFull) => this.#noteInputMemory(isFull),
    });
    this.#rejections = new InputRejections(options);
    this.#server = createServer(
      {
        IncomingMessage: LeanRequest,
        maxHeaderSize: MAX_REQUEST_HEAD_BYTES,
        requestTimeout: BODY_TIMEOUT_MS,
        keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
        connectionsCheckingInterval: 2_000,
        noDelay: true,
      },
      (req, res) => void this.#serve(req, res),
    );
    // Beyond its count of headers, node:http leaves out the rest.
    this.#server.maxHeadersCount = MAX_HEADERS + 1;
    const rejectUnread = () => this.#rejectUnread();
    options.exitSignal.addEventListener("abort", rejectUnread, { once: true });
    this.#server.on("connection", (socket: Socket) => this.#accept(socket));
  }

  /** Number of requests without a complete response. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Number of open connections from callers. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Heap for connections and for requests without a response, in bytes. */
  get requestBytes(): number {
    return this.#requests.usedBytes;
  }

  /** Memory of input that waits to be processed, in bytes. */
  get inputBytes(): number {
    return this.#inputMemory.usedBytes;
  }

  /** Applies the limits of a new configuration. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    // Read by node:http for each new connection.
    Object.assign(this.#server, { maxHeaderSize: this.#maxHeadBytes });
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Starts listening; rejects if the address cannot be bound. */
  listen(host: string, port: number): Promise<void> {
    return listen(this.#server, host, port);
  }

  /** Starts listening as soon as the address can be bound. */
  listenWhenFree(
    address: () => ListenAddress,
    signal: AbortSignal,
  ): Promise<void> {
    const { log } = this.#options;
    const options = { address, name: "callers", log, signal };
    return listenWhenFree(this.#server, options);
  }

  /** The bound port, or 0 before the server listens. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address ? address.port : 0;
  }

  /** Stops accepting connections and closes idle ones. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes idle connections; those with a request in progress stay open. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes every connection immediately. */
  destroy(): void {
    this.#server.close();
    this.#connections.destroy();
  }

  get #maxHeadBytes(): number {
    const bytes = this.#limits.maxHeaderBytes + MAX_REQUEST_LINE_BYTES;
    return Math.min(MAX_REQUEST_HEAD_BYTES, bytes);
  }

  #accept(socket: Socket): void {
    this.#requests.holdConnection();
    socket.once("close", () => this.#requests.releaseConnection());
    this.#connections.add(socket, this.#createInput(socket));
  }

  #createInput(socket: Socket): CallerInput {
    return new CallerInput({
      socket,
      turns: this.#turns,
      memory: this.#inputMemory,
      limits: () => ({
        maxBytes: this.#maxHeadBytes,
        maxHeaderLines: MAX_HEADERS,
      }),
      admits: ({ bytes, headerLines }) =>
        this.#requests.fits(bytes.length, headerLines),
      buildRejection: (reason, head) => this.#rejections.build(reason, head),
    });
  }

  #noteConnectionLimit(closed: ClosedForLimit): void {
    const { log, onConnectionLimit } = this.#options;
    log("connection_limit", { closed, connections: this.connections });
    onConnectionLimit?.(closed);
  }

  #noteInputMemory(isFull: boolean): void {
    const { usedBytes } = this.#inputMemory;
    if (isFull) this.#options.log("input_paused", { bytes: usedBytes });
    if (!isFull) return this.#resumeInput();
    this.#relieveInputMemory();
    this.#connections.pauseInput();
  }

  /** All connections at once would read more than there is memory for. */
  #resumeInput(): void {
    if (this.#inputMemory.isFull) return;
    const { freeBytes } = this.#inputMemory;
    const count = Math.max(1, Math.floor(freeBytes / BYTES_PER_READ));
    if (!this.#connections.resumeInput(count) || this.#resuming) return;
    this.#resuming = setTimeout(() => {
      this.#resuming = undefined;
      this.#resumeInput();
    }, RESUME_INTERVAL_MS).unref();
  }

  /** Input that is being processed may become input that waits later. */
  #relieveInputMemory(): void {
    this.#connections.closeLongestHeads(this.#inputMemory.relievedBytes);
    if (!this.#inputMemory.isFull) return;
    setTimeout(() => this.#relieveInputMemory(), RELIEF_INTERVAL_MS).unref();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedMs = this.#options.now();
    const { closing, memory } = this.#options;
    const { socket } = req;
    const isClosing = () => closing() || this.#connections.isClosing(socket);
    const responder = new HttpResponder(res, isClosing, memory);
    const { signal, noteRead } = this.#track(req, res);
    if (signal.aborted || socket.destroyed) return;
    const headers = req.rawHeaders;
    if (!isHeadAllowed(headers, this.#limits)) {
      responder.reply(STATUS_HEADERS_TOO_LARGE, ["Connection", "close"]);
      return;
    }
    if (!this.#holdHead(headers, signal)) {
      this.#rejectBody(BodyFailure.NoMemory, headers, responder);
      return;
    }
    const request = {
      method: req.method ?? "GET",
      target: req.url ?? "/",
      host: findHeader(headers, "host") ?? "",
      headers,
      arrivedMs,
      signal,
      noteRead,
      responder,
    };
    await this.#handle(req, request).catch((err) =>
      this.#handleCrash(request, err)
    );
  }

  async #handle(req: IncomingMessage, head: UnreadRequest): Promise<void> {
    const { noteRead, ...request } = head;
    const { headers, responder, signal } = request;
    const rejection = this.#options.rejectHead?.(head);
    if (rejection) return this.#rejectHead(req, responder, rejection);
    const body = await this.#read(req, responder, signal);
    if (signal.aborted) return;
    if (typeof body === "string") {
      return this.#rejectBody(body, headers, responder);
    }
    noteRead();
    await this.#options.handler({ ...request, body });
  }

  /** Counts a request until it is over. */
  #track(req: IncomingMessage, res: ServerResponse): TrackedRequest {
    const tracked = this.#connections.track(req, res);
    const { signal, pipelined } = tracked;
    if (signal.aborted) return tracked;
    this.#inProgress += 1;
    signal.addEventListener("abort", () => this.#inProgress -= 1);
    if (pipelined > MAX_PIPELINED_REQUESTS) {
      this.#options.log("pipeline_closed", { requests: pipelined });
      req.socket.destroy();
    }
    return tracked;
  }

  /** Accounts for a head until its request is over; false if it doesn't fit. */
  #holdHead(headers: RawHeaders, signal: AbortSignal): boolean {
    if (!this.#requests.hold(headers)) return false;
    signal.addEventListener("abort", () => this.#requests.release(headers));
    return true;
  }

  /**
   * Responds at once, and ends the response with the body, which is discarded: a
   * connection that closes while its caller still writes loses the response.
   */
  async #rejectHead(
    req: IncomingMessage,
    responder: HttpResponder,
    { status, headers }: HeadRejection,
  ): Promise<void> {
    responder.startEmptyReply(status, headers);
    this.#unread.add(responder);
    const complete = await discardBody(req, this.#limits.maxBodyBytes);
    this.#unread.delete(responder);
    if (complete) responder.endStream();
    else responder.destroy();
  }

  /** Reads the body, if there is memory for it. */
  async #read(
    req: IncomingMessage,
    responder: HttpResponder,
    signal: AbortSignal,
  ): Promise<Buffer | BodyFailure> {
    const account = this.#options.memory.open();
    signal.addEventListener("abort", () => account.release());
    this.#unread.add(responder);
    const body = await readBody(req, this.#limits.maxBodyBytes, account);
    this.#unread.delete(responder);
    return body;
  }

  #rejectBody(
    failure: BodyFailure,
    headers: RawHeaders,
    responder: HttpResponder,
  ): void {
    if (failure !== BodyFailure.NoMemory) {
      responder.reply(STATUS_TOO_LARGE, ["Connection", "close"]);
      return;
    }
    // The rest of the body is read and discarded, so that its caller gets this.
    const reply = this.#options.buildNoMemoryHeaders(headers);
    responder.reply(STATUS_UNAVAILABLE, reply);
  }

  /** Tells the callers of unread requests that these did not run. */
  #rejectUnread(): void {
    if (this.#unread.size === 0) return;
    this.#options.log("unread_rejected", { requests: this.#unread.size });
    for (const responder of this.#unread) {
      responder.reply(STATUS_UNAVAILABLE, []);
    }
  }

  /** Fails only the affected request when its handler throws. */
  #handleCrash(req: UnreadRequest, err: unknown): void {
    this.#options.log("request_crashed", {
      target: req.target,
      message: errorMessage(err),
    });
    if (req.responder.started) req.responder.destroy();
    else req.responder.reply(STATUS_BAD_GATEWAY, []);
  }
}

function isHeadAllowed(
  headers: RawHeaders,
  { maxHeaderBytes }: CallerLimits,
): boolean {
  const bytes = headers.reduce((sum, text) => sum + text.length + 2, 0);
  return bytes <= maxHeaderBytes && headers.length <= 2 * MAX_HEADERS;
}
