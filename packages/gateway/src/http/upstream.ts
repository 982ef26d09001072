/**
 * Calls to backend servers over kept connections, one request at a time on
 * each. A call reports whether any of it may have been sent, since only a call
 * that was never sent is proved not to have run. Connections of an incarnation
 * end with it.
 */
import type { Logger } from "@sassafrascleat/runtime";
import type { Socket } from "node:net";
import { buildConnector, type Dispatcher, Pool } from "undici";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { MOST_CONNECTIONS } from "../decide/connection_share.ts";
import type { RawHeaders } from "./wire_codec.ts";

/** Why a call has no whole answer. */
export enum CallFailure {
  /** No connection could be made. */
  Unreachable = "unreachable",
  /** The connection ended before the answer was whole. */
  Broken = "broken",
  /** The answer belongs to another request, or its body was changed. */
  Foreign = "foreign",
  /** The caller of this module gave up. */
  Aborted = "aborted",
}

/** One request to a backend server. */
export interface UpstreamRequest {
  backend: Backend;
  method: string;
  /** Path and query. */
  path: string;
  headers: string[];
  body?: Buffer;
}

/** Controls an answer that is being received. */
export interface UpstreamFlow {
  pause(): void;
  resume(): void;
}

/** Receives an answer as it comes in. */
export interface UpstreamSink {
  /** The request is about to be written to a connection. */
  onSent?(): void;
  onHead(status: number, headers: RawHeaders, flow: UpstreamFlow): void;
  onData(chunk: Buffer): void;
  /** The answer is whole. */
  onEnd(): void;
  onFailure(failure: CallFailure, sent: boolean, message: string): void;
}

/** Options of the upstream connections. */
export interface UpstreamOptions {
  log: Logger;
  /** Longest wait for a connection, in milliseconds. @default 800 */
  connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds. @default 4000 */
  idleMs?: number;
  /**
   * Most connections to a backend server, asked when it is first called.
   * @default 64
   */
  maxConnectionsTo?: (backend: Backend) => number;
}

const CONNECT_TIMEOUT_MS = 800;
const IDLE_MS = 4_000;
/** Closing this much before the peer would avoids sending into its close. */
const KEEP_ALIVE_MARGIN_MS = 300;
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** Owner of the connections to backend servers. */
export class Upstream {
  readonly #options: Required<UpstreamOptions>;
  readonly #pools = new Map<string, Pool>();
  #opened = 0;
  /** A connection is being reset while its listeners run. */
  #resetting = false;
  /** Answers in progress that end with their connection. */
  #closeDelimitedResponses = 0;

  constructor(options: UpstreamOptions) {
    this.#options = {
      log: options.log,
      connectTimeoutMs: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
      idleMs: options.idleMs ?? IDLE_MS,
      maxConnectionsTo: options.maxConnectionsTo ?? (() => MOST_CONNECTIONS),
    };
  }

  /** Connections opened so far. */
  get connectionsOpened(): number {
    return this.#opened;
  }

  /** Sends one request; the answer goes to `sink` until `signal` aborts. */
  open(req: UpstreamRequest, sink: UpstreamSink, signal: AbortSignal): void {
    if (signal.aborted) {
      sink.onFailure(CallFailure.Aborted, false, "aborted before sending");
      return;
    }
    const handler = new CallHandler(sink, signal, {
      resetting: () => this.#resetting,
      adjustCloseDelimitedCount: (change) => {
        this.#closeDelimitedResponses += change;
      },
    });
    this.#pool(req.backend).dispatch(
      {
        method: req.method as Dispatcher.HttpMethod,
        path: req.path,
        headers: req.headers,
        body: req.body && req.body.length > 0 ? req.body : null,
      },
      handler,
    );
  }

  /** Stops using the connections of one backend server; calls go on. */
  retire(backend: Backend): void {
    const key = incarnationOf(backend);
    const pool = this.#pools.get(key);
    if (!pool) return;
    this.#pools.delete(key);
    pool.close().catch((err: Error) => {
      this.#options.log("pool_close_failed", {
        backend: backend.id,
        message: err.message,
      });
    });
  }

  /** Ends every connection. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /**
   * Connects, and notes when a connection is reset: `undici` takes an answer
   * without a length as whole also when its connection was reset.
   */
  #connector(): buildConnector.connector {
    const connect = buildConnector({
      timeout: this.#options.connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
    });
    return (options, callback) => {
      const onConnected: buildConnector.Callback = (...args) => {
        const socket = args[1] as Socket | null;
        socket?.prependListener("error", () => this.#markReset());
        socket?.prependListener("end", () => this.#detectResetAtEnd(socket));
        callback(...args);
      };
      connect(options, onConnected);
    };
  }

  /**
   * A reset that arrives together with data is read as an ordinary end. Only a
   * write tells them apart; a peer ignores an empty line between requests.
   */
  #detectResetAtEnd(socket: Socket): void {
    if (this.#closeDelimitedResponses === 0 || !socket.writable) return;
    socket.write("\r\n");
    if (socket.errored) this.#markReset();
  }

  #markReset(): void {
    this.#resetting = true;
    process.nextTick(() => {
      this.#resetting = false;
    });
  }

  #pool(backend: Backend): Pool {
    const key = incarnationOf(backend);
    const known = this.#pools.get(key);
    if (known) return known;
    const options = this.#options;
    const pool = new Pool(`http://${backend.address}`, {
      connections: options.maxConnectionsTo(backend),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.idleMs,
      keepAliveMaxTimeout: options.idleMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: this.#connector(),
    });
    pool.on("connect", () => {
      this.#opened += 1;
    });
    this.#pools.set(key, pool);
    return pool;
  }
}

/** What a call shares with the connections. */
interface ConnectionTracker {
  /** True while a connection's reset is being told. */
  resetting: () => boolean;
  /** Counts answers that end with their connection. */
  adjustCloseDelimitedCount: (change: 1 | -1) => void;
}

/** Turns the events of one dispatched request into calls of its sink. */
class CallHandler implements Dispatcher.DispatchHandler {
  readonly #sink: UpstreamSink;
  readonly #signal: AbortSignal;
  readonly #connection: ConnectionTracker;
  readonly #onAbort = () => this.#abort();
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #closeDelimited = false;
  #over = false;

  constructor(
    sink: UpstreamSink,
    signal: AbortSignal,
    connection: ConnectionTracker,
  ) {
    this.#sink = sink;
    this.#signal = signal;
    this.#connection = connection;
    signal.addEventListener("abort", this.#onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#over) {
      controller.abort(new Error("aborted before sending"));
      return;
    }
    this.#sent = true;
    this.#sink.onSent?.();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (this.#over || status < 200) return;
    const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
    const headers = raw.map((item) =>
      typeof item === "string" ? item : item.toString("latin1")
    );
    if (!declaresLength(headers)) {
      this.#closeDelimited = true;
      this.#connection.adjustCloseDelimitedCount(1);
    }
    this.#sink.onHead(status, headers, controller);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#over) this.#sink.onData(chunk);
  }

  onResponseEnd(): void {
    if (!this.#finish()) return;
    const reset = this.#closeDelimited && this.#connection.resetting();
    if (!reset) this.#sink.onEnd();
    else this.#sink.onFailure(CallFailure.Broken, true, "connection reset");
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    err: Error,
  ): void {
    if (!this.#finish()) return;
    const failure = this.#sent ? CallFailure.Broken : CallFailure.Unreachable;
    this.#sink.onFailure(failure, this.#sent, err.message);
  }

  #abort(): void {
    if (!this.#finish()) return;
    this.#controller?.abort(new Error("the call was given up"));
    this.#sink.onFailure(CallFailure.Aborted, this.#sent, "aborted");
  }

  #finish(): boolean {
    if (this.#over) return false;
    this.#over = true;
    if (this.#closeDelimited) this.#connection.adjustCloseDelimitedCount(-1);
    this.#signal.removeEventListener("abort", this.#onAbort);
    return true;
  }
}

/** True when an answer tells where it ends. */
function declaresLength(headers: RawHeaders): boolean {
  return headers.some((item, index) =>
    index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(item)
  );
}
