/** HTTP client of the platform's object API. */
import type { z } from "zod";
import { LIST_LIMIT, MAX_WATCH_MS } from "./constants.ts";
import {
  conflictResponseSchema,
  getResponseSchema,
  listResponseSchema,
  putResponseSchema,
  refusedResponseSchema,
  watchResponseSchema,
} from "./http_messages.ts";
import {
  type HttpStoreOptions,
  type ResolvedHttpStoreOptions,
  resolveHttpStoreOptions,
} from "./http_options.ts";
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
import {
  StoreConnections,
  type StoreRequest,
  type StoreResponse,
} from "./store_connections.ts";

/**
 * Maps an error response to a failure. A body with `refused` comes from the
 * store itself and proves that nothing was written. An error response without
 * it may come from a gateway that had already forwarded the write, so the
 * result is `Unknown`.
 */
function failureFromResponse(response: StoreResponse): StoreFailure {
  const refused = refusedResponseSchema.safeParse(response.body).success;
  return {
    status: refused ? StoreStatus.Unavailable : StoreStatus.Unknown,
    message: `the store responded with status ${response.status}`,
  };
}

function toQueryString(params: Record<string, string | number>): string {
  const entries = Object.entries(params)
    .map(([key, value]): [string, string] => [key, String(value)]);
  return new URLSearchParams(entries).toString();
}

/** An `ObjectStore` over HTTP. */
export class HttpStore implements ObjectStore {
  readonly #options: ResolvedHttpStoreOptions;
  readonly #connections: StoreConnections;

  constructor(raw: HttpStoreOptions) {
    this.#options = resolveHttpStoreOptions(raw);
    this.#connections = new StoreConnections(this.#options);
  }

  async get(key: string, signal?: AbortSignal): Promise<GetResult> {
    const response = await this.#read(
      `/object?${toQueryString({ key })}`,
      signal,
    );
    if ("message" in response) return response;
    return this.#parseResponse(response, getResponseSchema, ({ object }) => ({
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
    const path = `/object?${toQueryString({ key, version: expectedVersion })}`;
    return this.#write("PUT", path, signal, JSON.stringify(value));
  }

  delete(
    key: string,
    expectedVersion: number,
    signal?: AbortSignal,
  ): Promise<PutResult> {
    const path = `/object?${toQueryString({ key, version: expectedVersion })}`;
    return this.#write("DELETE", path, signal);
  }

  async list(options: ListOptions, signal?: AbortSignal): Promise<ListResult> {
    const params = {
      prefix: options.prefix,
      after: options.after ?? "",
      limit: options.limit ?? LIST_LIMIT,
    };
    const response = await this.#read(
      `/objects?${toQueryString(params)}`,
      signal,
    );
    if ("message" in response) return response;
    return this.#parseResponse(response, listResponseSchema, (body) => ({
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
    const response = await this.#connections.request({
      method: "GET",
      path: `/watch?${toQueryString(params)}`,
      timeoutMs: this.#options.timeoutMs,
      waitMs,
      signal,
    });
    if ("message" in response) return response;
    return this.#parseResponse(response, watchResponseSchema, (body) => ({
      status: StoreStatus.Ok,
      ...body,
    }));
  }

  /** Closes all connections after the calls in progress have ended. */
  close(): Promise<void> {
    return this.#connections.close();
  }

  /** Sends a read; retries it once on a new connection if it got no response. */
  async #read(
    path: string,
    signal: AbortSignal | undefined,
  ): Promise<StoreResponse | StoreFailure> {
    const { timeoutMs } = this.#options;
    const request: StoreRequest = { method: "GET", path, timeoutMs, signal };
    const response = await this.#connections.request(request);
    const noResponse = "message" in response &&
      response.status === StoreStatus.Unknown;
    return noResponse && !signal?.aborted
      ? this.#connections.request(request)
      : response;
  }

  async #write(
    method: "PUT" | "DELETE",
    path: string,
    signal: AbortSignal | undefined,
    body?: string,
  ): Promise<PutResult> {
    const timeoutMs = this.#options.writeTimeoutMs;
    const response = await this.#connections.request({
      method,
      path,
      body,
      timeoutMs,
      signal,
    });
    if ("message" in response) return response;
    if (response.status === 413) {
      const message =
        "the value exceeds the store's size limit; store a smaller value";
      return { status: StoreStatus.TooLarge, message };
    }
    if (response.status === 409) {
      const ok = { ...response, status: 200 };
      return this.#parseResponse(ok, conflictResponseSchema, ({ current }) => ({
        status: StoreStatus.Conflict,
        current,
      }));
    }
    return this.#parseResponse(response, putResponseSchema, ({ version }) => ({
      status: StoreStatus.Ok,
      version,
    }));
  }

  #parseResponse<S extends z.ZodType, R>(
    response: StoreResponse,
    schema: S,
    toResult: (body: z.infer<S>) => R,
  ): R | StoreFailure {
    if (response.status !== 200) return failureFromResponse(response);
    const parsed = schema.safeParse(response.body);
    if (parsed.success) return toResult(parsed.data);
    const message = "the store's response does not match the expected schema";
    return { status: StoreStatus.Unknown, message };
  }
}

/** Creates an HTTP client of the platform's object API. */
export function createHttpStore(raw: HttpStoreOptions): HttpStore {
  return new HttpStore(raw);
}
