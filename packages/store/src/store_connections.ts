/**
 * The connections of one client to the store. A call that gets no answer in
 * time makes the client dial anew, since a pooled connection may have gone
 * silent for good; calls in progress on the old connections may still end
 * there. A caller that gives up after half of that time counts as well.
 */
import {
  childController,
  createLogger,
  errorMessage,
} from "@sassafrascleat/runtime";
import { type Dispatcher, Pool } from "undici";
import { KEEP_ALIVE_MS } from "./constants.ts";
import type { ResolvedHttpStoreOptions } from "./http_options.ts";
import { type StoreFailure, StoreStatus } from "./object_store.ts";

const log = createLogger("store");

/** One HTTP call. */
export interface Call {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: string;
  timeoutMs: number;
  /** Time that the store may wait before it answers. @default 0 */
  waitMs?: number;
  signal: AbortSignal | undefined;
}

/** An answer of any status; the body is undefined when it is not JSON. */
export interface Answer {
  status: number;
  body: unknown;
}

/** Errors before the request left this process. */
const NOT_SENT = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isNotSent(err: unknown): boolean {
  return NOT_SENT.has((err as { code?: string }).code ?? "");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** A pool of connections that is replaced when one of them is silent. */
export class StoreConnections {
  readonly #options: ResolvedHttpStoreOptions;
  #pool: Pool;

  constructor(options: ResolvedHttpStoreOptions) {
    this.#options = options;
    this.#pool = this.#dial();
  }

  /** Sends a call and reads its answer. */
  async call(call: Call): Promise<Answer | StoreFailure> {
    const pool = this.#pool;
    const startedAtMs = performance.now();
    const { timeoutMs, waitMs = 0 } = call;
    const owner = childController(call.signal);
    const giveUp = () => owner.abort(new Error("no answer in time"));
    const timer = setTimeout(giveUp, timeoutMs + waitMs);
    try {
      const res = await pool.request({
        method: call.method,
        path: call.path,
        body: call.body,
        headers: this.#headers(call),
        signal: owner.signal,
      });
      const text = await res.body.text();
      return { status: res.statusCode, body: parseJson(text) };
    } catch (err) {
      if (isNotSent(err)) {
        return { status: StoreStatus.Unavailable, message: errorMessage(err) };
      }
      const silentMs = performance.now() - startedAtMs - waitMs;
      const given = call.signal?.aborted && silentMs < timeoutMs / 2;
      if (!given) this.#replace(pool);
      return { status: StoreStatus.Unknown, message: errorMessage(err) };
    } finally {
      clearTimeout(timer);
      owner.abort();
    }
  }

  #headers(call: Call): Record<string, string> {
    const headers: Record<string, string> = {};
    if (call.body !== undefined) headers["content-type"] = "application/json";
    const { secret } = this.#options;
    if (secret) headers.authorization = `Bearer ${secret.reveal()}`;
    return headers;
  }

  /** Leaves connections that gave no answer and opens new ones on demand. */
  #replace(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = this.#dial();
    log("connections_replaced", { base: this.#options.baseUrl });
    pool.close().catch(() => undefined);
  }

  #dial(): Pool {
    return new Pool(this.#options.baseUrl, {
      connections: this.#options.maxConnections,
      connectTimeout: this.#options.connectTimeoutMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Closes every connection; calls in progress end first. */
  close(): Promise<void> {
    return this.#pool.close();
  }
}
