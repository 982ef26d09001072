/**
 * Connections to one backend server. A connection that stays silent may have
 * been forgotten by something between the two ends, and so may its idle
 * neighbours: after a timeout all of them are replaced.
 */
import {
  createLogger,
  deadlineSignal,
  errorMessage,
} from "@sassafrascleat/runtime";
import { Pool } from "undici";
import { ENGINE_CONNECT_TIMEOUT_MS } from "./constants.ts";

const log = createLogger("engine");

/** How a short call ended: the decoded body, or nothing. */
export interface JsonReply<T> {
  body?: T;
  /** False when the connection failed or stayed silent. */
  reached: boolean;
}

/** Sends calls to one base address over pooled connections. */
export class Connections {
  readonly #baseUrl: string;
  #pool: Pool;

  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
    this.#pool = this.#createPool();
  }

  /** One JSON call with an upper bound on its time. */
  async json<T>(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<JsonReply<T>> {
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
      this.#replace(pool, err);
      return { reached: false };
    }
  }

  /**
   * The lines of a streamed answer. Ends when the answer ends, when `signal`
   * aborts, and when nothing arrives for `silenceMs`; never throws.
   */
  async *lines(
    path: string,
    body: unknown,
    silenceMs: number,
    signal: AbortSignal,
  ): AsyncGenerator<string, void> {
    const pool = this.#pool;
    const controller = new AbortController();
    const onAbort = () => controller.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) controller.abort();
    const watchdog = setTimeout(onAbort, silenceMs);
    try {
      const res = await pool.request({
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: controller.signal,
      });
      if (res.statusCode >= 300) return await res.body.dump();
      yield* splitLines(res.body, () => watchdog.refresh());
    } catch (err) {
      if (!signal.aborted) this.#replace(pool, err);
    } finally {
      clearTimeout(watchdog);
      signal.removeEventListener("abort", onAbort);
      controller.abort();
    }
  }

  /** Closes every connection. */
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

  /** Drops idle connections; calls in flight on the old ones may finish. */
  #replace(pool: Pool, cause: unknown): void {
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
  let rest = "";
  for await (const chunk of chunks) {
    onChunk();
    const parts = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = parts.pop() ?? "";
    yield* parts;
  }
}
