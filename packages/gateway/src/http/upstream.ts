/**
 * HTTP client for backend servers: a pool of keep-alive connections for each
 * incarnation of a backend server, without pipelining. A failed call reports
 * whether any of it may have been sent, because only an unsent request is
 * certain not to have been executed. So does a call to a server whose address is
 * not usable: no call throws. The pool of an incarnation is closed when that
 * incarnation is removed.
 */
import { errorMessage, type Logger } from "@sassafrascleat/runtime";
import type { Socket } from "node:net";
import { buildConnector, type Client, type Dispatcher, Pool } from "undici";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { MAX_CONNECTIONS } from "../decide/connection_share.ts";
import { MemoryBudget } from "./memory_budget.ts";
import { ConnectionBytes } from "./response_limits.ts";
import type { RawHeaders } from "./wire_codec.ts";
import {
  TrackedClient,
  type TrackedDispatchOptions,
} from "./tracked_client.ts";
import {
  CallFailure,
  CallHandler,
  type ResponseHandler,
  type UpstreamRequest,
} from "./upstream_call.ts";

/** Options of {@link Upstream}. */
export interface UpstreamOptions {
  log: Logger;
  /** Connect timeout in milliseconds. @default 800 */
  connectTimeoutMs?: number;
  /** Idle time before a connection is closed, in milliseconds. @default 4000 */
  idleMs?: number;
  /**
   * Maximum number of connections to a backend server. Read when its pool is
   * created, which is on the first call.
   * @default 64
   */
  maxConnectionsTo?: (backend: Backend) => number;
  /** Memory for buffered responses. @default a budget of its own */
  memory?: MemoryBudget;
  /** Called with the head of each response. */
  onResponse?: (backend: Backend, head: ResponseHead) => void;
}

/** The head of a response. */
export interface ResponseHead {
  status: number;
  headers: RawHeaders;
  /** Time since the request was sent, in milliseconds. */
  ageMs: number;
}

const CONNECT_TIMEOUT_MS = 800;
const IDLE_MS = 4_000;
/**
 * Connections are closed this long before the peer's announced keep-alive
 * timeout, so that no request is sent while the peer closes the connection.
 */
const KEEP_ALIVE_MARGIN_MS = 300;
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** Connection pools for backend servers. */
export class Upstream {
  /** Memory for the buffered responses of all calls. */
  readonly memory: MemoryBudget;
  readonly #options: Required<Omit<UpstreamOptions, "memory">>;
  readonly #pools = new Map<string, Pool>();
  /** Pools of calls that have a connection of their own. */
  readonly #singles = new Set<Pool>();
  #opened = 0;
  /** True while the listeners of a connection that was reset are running. */
  #resetting = false;
  /**
   * Number of close-delimited responses in progress: those without a length,
   * which end when the connection closes.
   */
  #closeDelimitedResponses = 0;

  constructor(options: UpstreamOptions) {
    this.#options = {
      log: options.log,
      connectTimeoutMs: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
      idleMs: options.idleMs ?? IDLE_MS,
      maxConnectionsTo: options.maxConnectionsTo ?? (() => MAX_CONNECTIONS),
      onResponse: options.onResponse ?? (() => {}),
    };
    this.memory = options.memory ?? new MemoryBudget();
  }

  /** Total number of connections opened. */
  get connectionsOpened(): number {
    return this.#opened;
  }

  /** Sends a request; `handler` gets the response until `signal` aborts. */
  open(
    req: UpstreamRequest,
    handler: ResponseHandler,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) {
      handler.onFailure(CallFailure.Aborted, false, "aborted before sending");
      return;
    }
    const startMs = performance.now();
    const callHandler = new CallHandler(handler, signal, {
      onHead: (status, headers) => {
        const ageMs = performance.now() - startMs;
        this.#options.onResponse(req.backend, { status, headers, ageMs });
      },
      resetting: () => this.#resetting,
      adjustCloseDelimitedCount: (change) => {
        this.#closeDelimitedResponses += change;
      },
    });
    const options: TrackedDispatchOptions = {
      method: req.method as Dispatcher.HttpMethod,
      path: req.path,
      headers: req.headers,
      body: req.body && req.body.length > 0 ? req.body : null,
      onConnection: (connection) => callHandler.useConnection(connection),
    };
    try {
      this.#dispatch(req, options, callHandler);
    } catch (err) {
      const message = errorMessage(err);
      this.#options.log("call_not_started", {
        backend: req.backend.id,
        message,
      });
      callHandler.fail(message);
    }
  }

  /**
   * Closes the pool of a backend server once its calls in progress are done;
   * later calls open new connections.
   */
  retire(backend: Backend): void {
    const key = incarnationOf(backend);
    const pool = this.#pools.get(key);
    if (!pool) return;
    this.#pools.delete(key);
    void this.#closePool(pool, backend);
  }

  #dispatch(
    req: UpstreamRequest,
    options: TrackedDispatchOptions,
    handler: CallHandler,
  ): void {
    if (req.newConnection) this.#dispatchSingle(req, options, handler);
    else this.#pool(req.backend).dispatch(options, handler);
  }

  #dispatchSingle(
    { backend }: UpstreamRequest,
    options: TrackedDispatchOptions,
    handler: CallHandler,
  ): void {
    const pool = this.#createPool(backend, 1);
    this.#singles.add(pool);
    pool.dispatch(options, handler);
    void this.#closePool(pool, backend)
      .finally(() => this.#singles.delete(pool));
  }

  /** Closes a pool once its calls in progress are done. */
  #closePool(pool: Pool, backend: Backend): Promise<void> {
    return pool.close().catch((err: Error) => {
      this.#options.log("pool_close_failed", {
        backend: backend.id,
        message: err.message,
      });
    });
  }

  /** Closes every connection immediately, also those with calls in progress. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values(), ...this.#singles];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /**
   * Creates a connector that detects resets. `undici` itself treats a
   * close-delimited response as complete even if its connection was reset.
   */
  #connector(connection: ConnectionBytes): buildConnector.connector {
    const connect = buildConnector({
      timeout: this.#options.connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
    });
    return (options, callback) => {
      const onConnected: buildConnector.Callback = (...args) => {
        const socket = args[1] as Socket | null;
        if (socket) connection.attach(socket);
        socket?.prependListener("error", () => this.#markReset());
        socket?.prependListener("end", () => this.#detectResetAtEnd(socket));
        callback(...args);
      };
      connect(options, onConnected);
    };
  }

  /**
   * Distinguishes a reset from a regular end of stream. A reset that arrives
   * together with data is reported as a regular end, and only a write reveals
   * it. An empty line is safe to write: servers ignore it between requests.
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

  #createClient(origin: URL | string, options: Client.Options): Dispatcher {
    const connection = new ConnectionBytes();
    const connect = this.#connector(connection);
    return new TrackedClient(origin, { ...options, connect }, connection);
  }

  #pool(backend: Backend): Pool {
    const key = incarnationOf(backend);
    const known = this.#pools.get(key);
    if (known) return known;
    const connections = this.#options.maxConnectionsTo(backend);
    const pool = this.#createPool(backend, connections);
    this.#pools.set(key, pool);
    return pool;
  }

  #createPool(backend: Backend, connections: number): Pool {
    const options = this.#options;
    const pool = new Pool(`http://${backend.address}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.idleMs,
      keepAliveMaxTimeout: options.idleMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      factory: (origin, clientOptions) =>
        this.#createClient(origin, clientOptions as Client.Options),
    });
    pool.on("connect", () => {
      this.#opened += 1;
    });
    return pool;
  }
}
