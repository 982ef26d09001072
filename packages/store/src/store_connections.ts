/**
 * Connection pool of one store client. A request that gets no response in time
 * makes the client replace the whole pool, since a pooled connection may be
 * dead without having been closed. Requests in progress on the old connections
 * may still finish there. A caller that aborts after at least half of the
 * timeout also causes the replacement.
 */
import {
  childAbortController,
  createLogger,
  errorMessage,
} from "@sassafrascleat/runtime";
import { type Dispatcher, Pool } from "undici";
import { KEEP_ALIVE_MS } from "./constants.ts";
import type { ResolvedHttpStoreOptions } from "./http_options.ts";
import { type StoreFailure, StoreStatus } from "./object_store.ts";

const log = createLogger("store");

/** An HTTP request to the store. */
export interface StoreRequest {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: string;
  timeoutMs: number;
  /** Time a long poll may wait at the server, on top of `timeoutMs`. @default 0 */
  waitMs?: number;
  signal: AbortSignal | undefined;
}

/** A response of any status; `body` is undefined if it is not valid JSON. */
export interface StoreResponse {
  status: number;
  body: unknown;
}

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isNotSentError(err: unknown): boolean {
  return NOT_SENT_ERROR_CODES.has((err as { code?: string }).code ?? "");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Connection pool that is replaced when a request on it gets no response. */
export class StoreConnections {
  readonly #options: ResolvedHttpStoreOptions;
  #pool: Pool;

  constructor(options: ResolvedHttpStoreOptions) {
    this.#options = options;
    this.#pool = this.#createPool();
  }

  /** Sends a request and reads the whole response. */
  async request(request: StoreRequest): Promise<StoreResponse | StoreFailure> {
    const pool = this.#pool;
    const startedAtMs = performance.now();
    const { timeoutMs, waitMs = 0 } = request;
    const controller = childAbortController(request.signal);
    const onTimeout = () =>
      controller.abort(new Error("timed out waiting for the store's response"));
    const timer = setTimeout(onTimeout, timeoutMs + waitMs);
    try {
      const res = await pool.request({
        method: request.method,
        path: request.path,
        body: request.body,
        headers: this.#headers(request),
        signal: controller.signal,
      });
      const text = await res.body.text();
      return { status: res.statusCode, body: parseJson(text) };
    } catch (err) {
      if (isNotSentError(err)) {
        return { status: StoreStatus.Unavailable, message: errorMessage(err) };
      }
      const silentMs = performance.now() - startedAtMs - waitMs;
      const callerAbortedEarly = request.signal?.aborted &&
        silentMs < timeoutMs / 2;
      if (!callerAbortedEarly) this.#replacePool(pool);
      return { status: StoreStatus.Unknown, message: errorMessage(err) };
    } finally {
      clearTimeout(timer);
      controller.abort();
    }
  }

  #headers(request: StoreRequest): Record<string, string> {
    const headers: Record<string, string> = {};
    if (request.body !== undefined) {
      headers["content-type"] = "application/json";
    }
    const { secret } = this.#options;
    if (secret) headers.authorization = `Bearer ${secret.reveal()}`;
    return headers;
  }

  /** Replaces `pool` if it is still in use; requests in progress may finish. */
  #replacePool(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = this.#createPool();
    log("connections_replaced", { base: this.#options.baseUrl });
    pool.close().catch(() => undefined);
  }

  #createPool(): Pool {
    return new Pool(this.#options.baseUrl, {
      connections: this.#options.maxConnections,
      connectTimeout: this.#options.connectTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Closes all connections after the requests in progress have ended. */
  close(): Promise<void> {
    return this.#pool.close();
  }
}
