/** HTTP client for `Engine`: JSON calls and newline-delimited JSON streams. */
import type { OrderRequest } from "@sassafrascleat/protocol";
import { ConnectionPool } from "./connection_pool.ts";
import {
  ENGINE_CALL_TIMEOUT_MS,
  ENGINE_MAX_RETRIES,
  ENGINE_STREAM_TIMEOUT_MS,
} from "./constants.ts";
import {
  type CacheEvent,
  type Engine,
  type EngineDecodeRequest,
  type EngineDecodeResult,
  type EngineEvent,
  type EngineFailure,
  type EngineLoad,
  type EnginePrefillRequest,
  type EnginePrefillResult,
  EngineStatus,
} from "./engine.ts";
import {
  decodeEngineLine,
  EngineLineKind,
  EnginePath,
  type EngineStreamLine,
} from "./wire.ts";

/** Options of `createHttpEngine`. */
export interface HttpEngineOptions {
  /** Base URL of the engine, `http://ip:port`. */
  baseUrl: string;
  /**
   * Time without data after which a stream is aborted, in milliseconds.
   * @default 700
   */
  streamTimeoutMs?: number;
  /**
   * Timeout of a JSON call, in milliseconds.
   * @default 500
   */
  callTimeoutMs?: number;
}

/** `HttpEngineOptions` with all defaults applied. */
export type ResolvedHttpEngineOptions = Required<HttpEngineOptions>;

/** Applies the defaults to `raw`. */
export function resolveHttpEngineOptions(
  raw: HttpEngineOptions,
): ResolvedHttpEngineOptions {
  return {
    baseUrl: raw.baseUrl,
    streamTimeoutMs: raw.streamTimeoutMs ?? ENGINE_STREAM_TIMEOUT_MS,
    callTimeoutMs: raw.callTimeoutMs ?? ENGINE_CALL_TIMEOUT_MS,
  };
}

/** An engine client with its own connection pool, which has to be closed. */
export interface HttpEngine extends Engine {
  close(): Promise<void>;
}

/** Creates a client for the engine at `baseUrl`. */
export function createHttpEngine(raw: HttpEngineOptions): HttpEngine {
  return new HttpEngineClient(resolveHttpEngineOptions(raw));
}

class HttpEngineClient implements HttpEngine {
  readonly #options: ResolvedHttpEngineOptions;
  readonly #connections: ConnectionPool;

  constructor(options: ResolvedHttpEngineOptions) {
    this.#options = options;
    this.#connections = new ConnectionPool(options.baseUrl);
  }

  async prefill(
    req: EnginePrefillRequest,
    signal: AbortSignal,
  ): Promise<EnginePrefillResult> {
    for (
      let sendCount = 0;
      sendCount <= ENGINE_MAX_RETRIES && !signal.aborted;
      sendCount++
    ) {
      for await (const line of this.#stream(EnginePath.Prefill, req, signal)) {
        if (line.kind === EngineLineKind.Prefilled) return line.result;
        if (line.kind === EngineLineKind.Failed) return line.failure;
      }
    }
    return unreachableFailure("the engine did not respond to the prefill");
  }

  async decode(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult> {
    for (
      let sendCount = 0;
      sendCount <= ENGINE_MAX_RETRIES && !signal.aborted;
      sendCount++
    ) {
      const result = await this.#openStream(EnginePath.Decode, req, signal);
      if (result) return result;
    }
    return unreachableFailure("the engine did not start decoding");
  }

  async resume(
    id: string,
    offset: number,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult> {
    const body = { id, offset };
    return await this.#openStream(EnginePath.Resume, body, signal) ??
      unreachableFailure("the engine did not resume the stream");
  }

  async cancel(id: string): Promise<boolean> {
    return await this.#post(EnginePath.Cancel, { id }) !== undefined;
  }

  async held(): Promise<string[] | undefined> {
    return (await this.#get<{ ids: string[] }>(EnginePath.Held))?.ids;
  }

  load(): Promise<EngineLoad | undefined> {
    return this.#get<EngineLoad>(EnginePath.Load);
  }

  async cacheEvents(afterNumber: number): Promise<CacheEvent[] | undefined> {
    const path = `${EnginePath.CacheEvents}?after=${afterNumber}`;
    return (await this.#get<{ events: CacheEvent[] }>(path))?.events;
  }

  cacheSnapshot(): Promise<{ number: number; pieces: string[] } | undefined> {
    return this.#get(EnginePath.CacheSnapshot);
  }

  async order(req: OrderRequest): Promise<boolean> {
    const reply = await this.#post<{ accepted: boolean }>(
      EnginePath.Order,
      req,
    );
    return reply?.accepted ?? false;
  }

  close(): Promise<void> {
    return this.#connections.close();
  }

  /** Starts or resumes a decode; undefined if the stream ended before a result. */
  async #openStream(
    path: EnginePath,
    body: unknown,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult | undefined> {
    const lines = this.#stream(path, body, signal);
    for (;;) {
      const next = await lines.next();
      if (next.done) return undefined;
      if (next.value.kind === EngineLineKind.Failed) {
        await lines.return();
        return next.value.failure;
      }
      if (next.value.kind === EngineLineKind.Started) {
        return { status: EngineStatus.Ok, events: engineEvents(lines) };
      }
    }
  }

  async *#stream(
    path: EnginePath,
    body: unknown,
    signal: AbortSignal,
  ): AsyncGenerator<EngineStreamLine, void> {
    const { streamTimeoutMs } = this.#options;
    const lines = this.#connections.lines(path, body, streamTimeoutMs, signal);
    for await (const text of lines) {
      const line = decodeEngineLine(text);
      if (line) yield line;
    }
  }

  async #get<T>(path: string): Promise<T | undefined> {
    return await this.#requestJson<T>("GET", path, undefined);
  }

  async #post<T = unknown>(path: string, body: unknown) {
    return await this.#requestJson<T>("POST", path, body);
  }

  /** Retries once on a new connection, since every call is idempotent. */
  async #requestJson<T>(method: "GET" | "POST", path: string, body: unknown) {
    const { callTimeoutMs } = this.#options;
    for (let sendCount = 0; sendCount < ENGINE_MAX_RETRIES; sendCount++) {
      const reply = await this.#connections.json<T>(
        method,
        path,
        body,
        callTimeoutMs,
      );
      if (reply.reached) return reply.body;
    }
    return undefined;
  }
}

async function* engineEvents(
  lines: AsyncGenerator<EngineStreamLine, void>,
): AsyncGenerator<EngineEvent, void> {
  for await (const line of lines) {
    if (line.kind === EngineLineKind.Event) yield line.event;
  }
}

function unreachableFailure(message: string): EngineFailure {
  return { status: EngineStatus.Unreachable, message };
}
