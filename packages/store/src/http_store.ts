/**
 * The object API over HTTP. A call that gets no answer in time makes the client
 * dial anew, since a pooled connection may have gone silent for good; calls in
 * progress on the old connections may still end there.
 */
import {
  createLogger,
  errorMessage,
  type Secret,
} from "@sassafrascleat/runtime";
import { type Dispatcher, Pool } from "undici";
import type { z } from "zod";
import {
  CONNECT_TIMEOUT_MS,
  KEEP_ALIVE_MS,
  LIST_LIMIT,
  MAX_CONNECTIONS,
  MAX_WATCH_MS,
  READ_TIMEOUT_MS,
  WRITE_TIMEOUT_MS,
} from "./constants.ts";
import {
  conflictAnswerSchema,
  getAnswerSchema,
  listAnswerSchema,
  putAnswerSchema,
  watchAnswerSchema,
} from "./http_messages.ts";
import {
  type GetResult,
  type ListOptions,
  type ListResult,
  type ObjectStore,
  type PutResult,
  type StoreFailure,
  StoreStatus,
  type WatchOptions,
  type WatchResult,
} from "./object_store.ts";

const log = createLogger("store");

/** Options of the HTTP client as the settings give them. */
export interface HttpStoreOptions {
  /** Base address of the object API, `http://ip:port`. */
  baseUrl: string;
  /** Time to the answer of a read, in milliseconds. @default 1000 */
  timeoutMs?: number;
  /** Time to the answer of a write, in milliseconds. @default 1500 */
  writeTimeoutMs?: number;
  /** Time to open a connection, in milliseconds. @default 1000 */
  connectTimeoutMs?: number;
  /** Connections that are opened at most. @default 16 */
  maxConnections?: number;
  /** Bearer secret of the platform's API. @default none */
  secret?: Secret;
}

/** Options with every default in place. */
export interface ResolvedHttpStoreOptions
  extends Required<Omit<HttpStoreOptions, "secret">> {
  secret: Secret | undefined;
}

/** Applies the defaults. */
export function resolveHttpStoreOptions(
  raw: HttpStoreOptions,
): ResolvedHttpStoreOptions {
  return {
    baseUrl: raw.baseUrl,
    timeoutMs: raw.timeoutMs ?? READ_TIMEOUT_MS,
    writeTimeoutMs: raw.writeTimeoutMs ?? WRITE_TIMEOUT_MS,
    connectTimeoutMs: raw.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
    maxConnections: raw.maxConnections ?? MAX_CONNECTIONS,
    secret: raw.secret,
  };
}

/** One HTTP call. */
interface Call {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: string;
  timeoutMs: number;
  signal: AbortSignal | undefined;
}

interface Answer {
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

function failure(answer: Answer): StoreFailure {
  const refused = answer.status === 503 || answer.status === 429;
  return {
    status: refused ? StoreStatus.Unavailable : StoreStatus.Unknown,
    message: `the store answered with status ${answer.status}`,
  };
}

function query(params: Record<string, string | number>): string {
  const entries = Object.entries(params)
    .map(([key, value]): [string, string] => [key, String(value)]);
  return new URLSearchParams(entries).toString();
}

/** An `ObjectStore` over HTTP. */
export class HttpStore implements ObjectStore {
  readonly #options: ResolvedHttpStoreOptions;
  #pool: Pool;

  constructor(raw: HttpStoreOptions) {
    this.#options = resolveHttpStoreOptions(raw);
    this.#pool = this.#dial();
  }

  async get(key: string, signal?: AbortSignal): Promise<GetResult> {
    const answer = await this.#read(`/object?${query({ key })}`, signal);
    if ("message" in answer) return answer;
    return this.#parse(answer, getAnswerSchema, ({ object }) => ({
      status: StoreStatus.Ok,
      object,
    }));
  }

  put(
    key: string,
    value: unknown,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult> {
    const path = `/object?${query({ key, version: expectedVersion })}`;
    return this.#write("PUT", path, signal, JSON.stringify(value));
  }

  delete(
    key: string,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult> {
    const path = `/object?${query({ key, version: expectedVersion })}`;
    return this.#write("DELETE", path, signal);
  }

  async list(options: ListOptions, signal?: AbortSignal): Promise<ListResult> {
    const params = {
      prefix: options.prefix,
      after: options.after ?? "",
      limit: options.limit ?? LIST_LIMIT,
    };
    const answer = await this.#read(`/objects?${query(params)}`, signal);
    if ("message" in answer) return answer;
    return this.#parse(answer, listAnswerSchema, (body) => ({
      status: StoreStatus.Ok,
      ...body,
    }));
  }

  async watch(
    options: WatchOptions,
    signal?: AbortSignal,
  ): Promise<WatchResult> {
    const waitMs = Math.min(options.waitMs, MAX_WATCH_MS);
    const params = { ...options, waitMs };
    const answer = await this.#call({
      method: "GET",
      path: `/watch?${query(params)}`,
      timeoutMs: this.#options.timeoutMs + waitMs,
      signal,
    });
    if ("message" in answer) return answer;
    return this.#parse(answer, watchAnswerSchema, (body) => ({
      status: StoreStatus.Ok,
      ...body,
    }));
  }

  /** Closes every connection; calls in progress end first. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  /** Reads; one that got no answer is sent again on a new connection. */
  async #read(
    path: string,
    signal: AbortSignal | undefined,
  ): Promise<Answer | StoreFailure> {
    const { timeoutMs } = this.#options;
    const call: Call = { method: "GET", path, timeoutMs, signal };
    const answer = await this.#call(call);
    const lost = "message" in answer && answer.status === StoreStatus.Unknown;
    return lost && !signal?.aborted ? this.#call(call) : answer;
  }

  async #write(
    method: "PUT" | "DELETE",
    path: string,
    signal: AbortSignal | undefined,
    body?: string,
  ): Promise<PutResult> {
    const timeoutMs = this.#options.writeTimeoutMs;
    const answer = await this.#call({ method, path, body, timeoutMs, signal });
    if ("message" in answer) return answer;
    if (answer.status === 413) {
      const message = "the value is over the store's limit; make it smaller";
      return { status: StoreStatus.TooLarge, message };
    }
    if (answer.status === 409) {
      const ok = { ...answer, status: 200 };
      return this.#parse(ok, conflictAnswerSchema, ({ current }) => ({
        status: StoreStatus.Conflict,
        current,
      }));
    }
    return this.#parse(answer, putAnswerSchema, ({ version }) => ({
      status: StoreStatus.Ok,
      version,
    }));
  }

  #parse<S extends z.ZodType, R>(
    answer: Answer,
    schema: S,
    make: (body: z.infer<S>) => R,
  ): R | StoreFailure {
    if (answer.status !== 200) return failure(answer);
    const parsed = schema.safeParse(answer.body);
    if (parsed.success) return make(parsed.data);
    const message = "the store's answer has an unexpected form";
    return { status: StoreStatus.Unknown, message };
  }

  async #call(call: Call): Promise<Answer | StoreFailure> {
    const pool = this.#pool;
    const timeout = AbortSignal.timeout(call.timeoutMs);
    const signal = call.signal
      ? AbortSignal.any([call.signal, timeout])
      : timeout;
    try {
      const res = await pool.request({
        method: call.method,
        path: call.path,
        body: call.body,
        headers: this.#headers(call),
        signal,
      });
      const text = await res.body.text();
      return { status: res.statusCode, body: text ? JSON.parse(text) : {} };
    } catch (err) {
      if (isNotSent(err)) {
        return { status: StoreStatus.Unavailable, message: errorMessage(err) };
      }
      if (!call.signal?.aborted) this.#replace(pool);
      return { status: StoreStatus.Unknown, message: errorMessage(err) };
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
}

/** Creates a client of the platform's object API. */
export function createHttpStore(raw: HttpStoreOptions): HttpStore {
  return new HttpStore(raw);
}
