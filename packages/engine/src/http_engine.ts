/** `Engine` over HTTP: JSON calls and newline-delimited JSON streams. */
import type { OrderRequest } from "@sassafrascleat/protocol";
import { Connections } from "./connection.ts";
import {
  ENGINE_CALL_TIMEOUT_MS,
  ENGINE_RESENDS,
  ENGINE_SILENCE_MS,
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
import { decodeWireLine, EnginePath, WireKind, type WireLine } from "./wire.ts";

/** Options of `createHttpEngine`. */
export interface HttpEngineOptions {
  /** Base address of the engine, `http://ip:port`. */
  baseUrl: string;
  /**
   * Silence after which a stream's connection counts as dead, in milliseconds.
   * @default 700
   */
  silenceMs?: number;
  /**
   * Time to the answer of a short call, in milliseconds.
   * @default 500
   */
  callTimeoutMs?: number;
}

/** `HttpEngineOptions` with every default filled in. */
export type ResolvedHttpEngineOptions = Required<HttpEngineOptions>;

/** Fills in the defaults. */
export function resolveHttpEngineOptions(
  raw: HttpEngineOptions,
): ResolvedHttpEngineOptions {
  return {
    baseUrl: raw.baseUrl,
    silenceMs: raw.silenceMs ?? ENGINE_SILENCE_MS,
    callTimeoutMs: raw.callTimeoutMs ?? ENGINE_CALL_TIMEOUT_MS,
  };
}

/** An engine client that owns its connections. */
export interface HttpEngine extends Engine {
  close(): Promise<void>;
}

/** Creates the client of the engine at `baseUrl`. */
export function createHttpEngine(raw: HttpEngineOptions): HttpEngine {
  return new HttpEngineClient(resolveHttpEngineOptions(raw));
}

class HttpEngineClient implements HttpEngine {
  readonly #cfg: ResolvedHttpEngineOptions;
  readonly #connections: Connections;

  constructor(cfg: ResolvedHttpEngineOptions) {
    this.#cfg = cfg;
    this.#connections = new Connections(cfg.baseUrl);
  }

  async prefill(
    req: EnginePrefillRequest,
    signal: AbortSignal,
  ): Promise<EnginePrefillResult> {
    for (let sent = 0; sent <= ENGINE_RESENDS && !signal.aborted; sent++) {
      for await (const line of this.#stream(EnginePath.Prefill, req, signal)) {
        if (line.kind === WireKind.Prefilled) return line.result;
        if (line.kind === WireKind.Failed) return line.failure;
      }
    }
    return unreachable("the engine did not answer the prefill");
  }

  async decode(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult> {
    for (let sent = 0; sent <= ENGINE_RESENDS && !signal.aborted; sent++) {
      const begun = await this.#begin(EnginePath.Decode, req, signal);
      if (begun) return begun;
    }
    return unreachable("the engine did not begin to decode");
  }

  async resume(
    id: string,
    offset: number,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult> {
    const body = { id, offset };
    return await this.#begin(EnginePath.Resume, body, signal) ??
      unreachable("the engine did not resume the stream");
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

  /** The outcome of a decode or resume; undefined when the connection broke. */
  async #begin(
    path: EnginePath,
    body: unknown,
    signal: AbortSignal,
  ): Promise<EngineDecodeResult | undefined> {
    const lines = this.#stream(path, body, signal);
    for (;;) {
      const next = await lines.next();
      if (next.done) return undefined;
      if (next.value.kind === WireKind.Failed) {
        await lines.return();
        return next.value.failure;
      }
      if (next.value.kind === WireKind.Started) {
        return { status: EngineStatus.Ok, events: eventsOf(lines) };
      }
    }
  }

  async *#stream(
    path: EnginePath,
    body: unknown,
    signal: AbortSignal,
  ): AsyncGenerator<WireLine, void> {
    const { silenceMs } = this.#cfg;
    const lines = this.#connections.lines(path, body, silenceMs, signal);
    for await (const text of lines) {
      const line = decodeWireLine(text);
      if (line) yield line;
    }
  }

  async #get<T>(path: string): Promise<T | undefined> {
    return await this.#call<T>("GET", path, undefined);
  }

  async #post<T = unknown>(path: string, body: unknown) {
    return await this.#call<T>("POST", path, body);
  }

  /** Sends again on a new connection once, since every call is idempotent. */
  async #call<T>(method: "GET" | "POST", path: string, body: unknown) {
    const { callTimeoutMs } = this.#cfg;
    for (let sent = 0; sent < ENGINE_RESENDS; sent++) {
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

async function* eventsOf(
  lines: AsyncGenerator<WireLine, void>,
): AsyncGenerator<EngineEvent, void> {
  for await (const line of lines) {
    if (line.kind === WireKind.Event) yield line.event;
  }
}

function unreachable(message: string): EngineFailure {
  return { status: EngineStatus.Unreachable, message };
}
