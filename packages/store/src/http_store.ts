/** The object API over HTTP. */
import type { z } from "zod";
import { LIST_LIMIT, MAX_WATCH_MS } from "./constants.ts";
import {
  conflictAnswerSchema,
  getAnswerSchema,
  listAnswerSchema,
  putAnswerSchema,
  refusalSchema,
  watchAnswerSchema,
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
  type Answer,
  type Call,
  StoreConnections,
} from "./store_connections.ts";

/**
 * The store's own refusal means that nothing was written. A gateway between
 * may answer with the same statuses after the write was passed on.
 */
function failure(answer: Answer): StoreFailure {
  const refused = refusalSchema.safeParse(answer.body).success;
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
  readonly #connections: StoreConnections;

  constructor(raw: HttpStoreOptions) {
    this.#options = resolveHttpStoreOptions(raw);
    this.#connections = new StoreConnections(this.#options);
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
    const answer = await this.#connections.call({
      method: "GET",
      path: `/watch?${query(params)}`,
      timeoutMs: this.#options.timeoutMs,
      waitMs,
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
    return this.#connections.close();
  }

  /** Reads; one that got no answer is sent again on a new connection. */
  async #read(
    path: string,
    signal: AbortSignal | undefined,
  ): Promise<Answer | StoreFailure> {
    const { timeoutMs } = this.#options;
    const call: Call = { method: "GET", path, timeoutMs, signal };
    const answer = await this.#connections.call(call);
    const lost = "message" in answer && answer.status === StoreStatus.Unknown;
    return lost && !signal?.aborted ? this.#connections.call(call) : answer;
  }

  async #write(
    method: "PUT" | "DELETE",
    path: string,
    signal: AbortSignal | undefined,
    body?: string,
  ): Promise<PutResult> {
    const timeoutMs = this.#options.writeTimeoutMs;
    const answer = await this.#connections.call({
      method,
      path,
      body,
      timeoutMs,
      signal,
    });
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
}

/** Creates a client of the platform's object API. */
export function createHttpStore(raw: HttpStoreOptions): HttpStore {
  return new HttpStore(raw);
}
