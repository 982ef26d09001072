/**
 * Connection pool for one backend server. When a connection delivers nothing in
 * time, a middlebox may have dropped its state without closing it, and the
 * state of the other idle connections too. After a timeout the pool therefore
 * replaces all connections.
 */
import {
  createLogger,
  deadlineSignal,
  errorMessage,
} from "@sassafrascleat/runtime";
import { Pool } from "undici";
import { ENGINE_CONNECT_TIMEOUT_MS } from "./constants.ts";

const log = createLogger("engine");

/** Result of a JSON call; `body` is undefined if the call failed. */
export interface JsonResponse<T> {
  body?: T;
  /** False if the call timed out, the connection failed or the body was not JSON. */
  reached: boolean;
}

/** Sends requests to one base URL over pooled connections. */
export class ConnectionPool {
  readonly #baseUrl: string;
  #pool: Pool;

  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
    this.#pool = this.#createPool();
  }

  /** Sends a JSON request and reads the whole response within `timeoutMs`. */
  async json<T>(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<JsonResponse<T>> {
    const pool = this.#pool;
    try {
      const res = await pool.request({
        method,
        path,
        headers: { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
        signal: deadlineSignal(timeoutMs),
      });
      const text = await res.body.text();
      if (res.statusCode >= 300) return { reached: true };
      return { body: JSON.parse(text) as T, reached: true };
    } catch (err) {
      this.#replacePool(pool, err);
      return { reached: false };
    }
  }

  /**
   * Yields the lines of a streamed response. Ends when the response ends, when
   * `signal` aborts or when no data arrives for `streamTimeoutMs`. Never throws.
   */
  async *lines(
    path: string,
    body: unknown,
    streamTimeoutMs: number,
    signal: AbortSignal,
  ): AsyncGenerator<string, void> {
    const pool = this.#pool;
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    if (signal.aborted) controller.abort();
    const streamTimer = setTimeout(abort, streamTimeoutMs);
    try {
      const res = await pool.request({
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: controller.signal,
      });
      if (res.statusCode >= 300) return await res.body.dump();
      yield* splitLines(res.body, () => streamTimer.refresh());
    } catch (err) {
      if (!signal.aborted) this.#replacePool(pool, err);
    } finally {
      clearTimeout(streamTimer);
      signal.removeEventListener("abort", abort);
      controller.abort();
    }
  }

  /** Closes all connections and aborts the requests in progress. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #createPool(): Pool {
    return new Pool(this.#baseUrl, {
      connections: null,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: ENGINE_CONNECT_TIMEOUT_MS },
    });
  }

  /** Replaces `pool` if it is still in use; requests in progress may finish. */
  #replacePool(pool: Pool, cause: unknown): void {
    if (pool !== this.#pool) return;
    log("connections_replaced", {
      address: this.#baseUrl,
      cause: errorMessage(cause),
    });
    this.#pool = this.#createPool();
    pool.close().catch(() => {});
  }
}

async function* splitLines(
  chunks: AsyncIterable<Buffer>,
  onChunk: () => void,
): AsyncGenerator<string, void> {
  const decoder = new TextDecoder();
  let partialLine = "";
  for await (const chunk of chunks) {
    onChunk();
    const lines = (partialLine + decoder.decode(chunk, { stream: true })).split(
      "\n",
    );
    partialLine = lines.pop() ?? "";
    yield* lines;
  }
}
