/**
 * The client of one sidecar. Control calls go over tRPC, each with a time
 * limit; after silence the connection pool is replaced, so that the repeat
 * travels on a new connection. Repeating is safe, because every call is
 * idempotent by request id and attempt.
 */
import {
  type CancelReply,
  type CancelRequest,
  CONTROL_TIMEOUT_MS,
  PLAIN_ATTACH_PATH,
  PLAIN_CALL_PATH,
  type PlainAttachRequest,
  type PlainCallReply,
  type PlainCallRequest,
  type PrefillReply,
  type PrefillRequest,
  type RenewReply,
  type RenewRequest,
  type ReserveReply,
  type ReserveRequest,
  type ResumeRequest,
  SIDECAR_RPC_PATH,
  type SidecarRouter,
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { childController, type Secret, sleep } from "@sassafrascleat/runtime";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { Readable } from "node:stream";
import { fetch as undiciFetch, Pool } from "undici";
import {
  CONNECTION_IDLE_MS,
  CONTROL_TRIES,
  PREFILL_TRIES,
  REDIAL_PAUSE_MS,
} from "../constants.ts";

/** The HTTP answer that opens a stream or ends a call. */
export interface RawReply {
  statusCode: number;
  body: Readable;
}

/** Sends one call; resolves with undefined when it brought no usable reply. */
type Send<T> = (signal: AbortSignal) => Promise<T>;

/** Replaced as a whole when a connection goes silent. */
interface Connections {
  pool: Pool;
  rpc: TRPCClient<SidecarRouter>;
}

/** Talks to the sidecar at one address. */
export class SidecarClient {
  readonly address: string;
  readonly #secret: Secret;
  #connections: Connections;
  /** Replaced pools whose last calls are still open. */
  readonly #retired = new Set<Pool>();
  #inFlight = 0;

  constructor(address: string, secret: Secret) {
    this.address = address;
    this.#secret = secret;
    this.#connections = this.#connect();
  }

  /** Calls and streams that are open. */
  get inFlight(): number {
    return this.#inFlight;
  }

  reserve(
    req: ReserveRequest,
    signal: AbortSignal,
  ): Promise<ReserveReply | undefined> {
    return this.#repeat(
      CONTROL_TRIES,
      CONTROL_TIMEOUT_MS,
      signal,
      (s) => this.#connections.rpc.reserve.mutate(req, { signal: s }),
    );
  }

  /** Waits for the prefill's end; silence beyond `waitMs` repeats the call. */
  prefill(
    req: PrefillRequest,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PrefillReply | undefined> {
    return this.#repeat(
      PREFILL_TRIES,
      waitMs,
      signal,
      (s) => this.#connections.rpc.prefill.mutate(req, { signal: s }),
    );
  }

  renew(
    req: RenewRequest,
    signal: AbortSignal,
  ): Promise<RenewReply | undefined> {
    return this.#repeat(
      CONTROL_TRIES,
      CONTROL_TIMEOUT_MS,
      signal,
      (s) => this.#connections.rpc.renew.mutate(req, { signal: s }),
    );
  }

  cancel(
    req: CancelRequest,
    signal: AbortSignal,
  ): Promise<CancelReply | undefined> {
    return this.#repeat(
      CONTROL_TRIES,
      CONTROL_TIMEOUT_MS,
      signal,
      (s) => this.#connections.rpc.cancel.mutate(req, { signal: s }),
    );
  }

  /** Opens the stream of a granted attempt. Rejects when no headers came. */
  start(req: StartRequest, signal: AbortSignal): Promise<RawReply> {
    return this.#post(STREAM_START_PATH, req, signal);
  }

  /** Continues a stream on another connection. Rejects when no headers came. */
  resume(req: ResumeRequest, signal: AbortSignal): Promise<RawReply> {
    return this.#post(STREAM_RESUME_PATH, req, signal);
  }

  /** Sends a plain call once, without repeats; undefined when no reply came. */
  call(
    req: PlainCallRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PlainCallReply | undefined> {
    return this.#repeat(
      1,
      timeoutMs,
      signal,
      (s) => this.#postJson(PLAIN_CALL_PATH, req, s),
    );
  }

  /** Asks on a new connection for the answer of a call that may have been sent. */
  attach(
    req: PlainAttachRequest,
    signal: AbortSignal,
  ): Promise<PlainCallReply | undefined> {
    const waitMs = req.waitMs + CONTROL_TIMEOUT_MS;
    return this.#repeat(
      1,
      waitMs,
      signal,
      (s) => this.#postJson(PLAIN_ATTACH_PATH, req, s),
    );
  }

  /** Makes later calls use new connections; open ones go on undisturbed. */
  renewConnections(): void {
    const old = this.#connections.pool;
    this.#connections = this.#connect();
    this.#retired.add(old);
    const forget = () => this.#retired.delete(old);
    old.close().then(forget, forget);
  }

  /** Ends every connection, with whatever still runs on it. */
  async close(): Promise<void> {
    const pools = [this.#connections.pool, ...this.#retired];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #connect(): Connections {
    const pool = new Pool(this.address, {
      keepAliveTimeout: CONNECTION_IDLE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONTROL_TIMEOUT_MS },
    });
    const rpc = createTRPCClient<SidecarRouter>({
      links: [httpLink({
        url: this.address + SIDECAR_RPC_PATH,
        headers: { [SYSTEM_SECRET_HEADER]: this.#secret.reveal() },
        fetch: (url, init) => fetchThrough(pool, String(url), init),
      })],
    });
    return { pool, rpc };
  }

  async #repeat<T>(
    tries: number,
    waitMs: number,
    signal: AbortSignal,
    send: Send<T>,
  ): Promise<T | undefined> {
    this.#inFlight += 1;
    try {
      for (let i = 0; i < tries && !signal.aborted; i++) {
        if (i > 0) await sleep(REDIAL_PAUSE_MS, signal);
        const reply = await this.#once(waitMs, signal, send);
        if (reply !== undefined) return reply;
      }
      return undefined;
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #once<T>(
    waitMs: number,
    signal: AbortSignal,
    send: Send<T>,
  ): Promise<T | undefined> {
    const controller = childController(signal);
    let silent = false;
    const timer = setTimeout(() => {
      silent = true;
      controller.abort();
    }, waitMs);
    try {
      return await send(controller.signal);
    } catch {
      if (silent) this.renewConnections();
      return undefined;
    } finally {
      clearTimeout(timer);
      controller.abort();
    }
  }

  async #post(
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<RawReply> {
    const reply = await this.#connections.pool.request({
      path,
      method: "POST",
      headers: {
        "content-type": "application/json",
        [SYSTEM_SECRET_HEADER]: this.#secret.reveal(),
      },
      body: JSON.stringify(body),
      signal,
    });
    this.#inFlight += 1;
    reply.body.once("close", () => this.#inFlight -= 1);
    return reply;
  }

  async #postJson(
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<PlainCallReply | undefined> {
    const reply = await this.#post(path, body, signal);
    const chunks: Buffer[] = [];
    for await (const chunk of reply.body) chunks.push(chunk);
    if (reply.statusCode !== 200) return undefined;
    return JSON.parse(Buffer.concat(chunks).toString()) as PlainCallReply;
  }
}

type FetchInit = Parameters<typeof undiciFetch>[1];

/** A `fetch` for tRPC that uses the connections of one pool. */
async function fetchThrough(
  pool: Pool,
  url: string,
  init: unknown,
): Promise<Response> {
  const res = await undiciFetch(url, {
    ...(init as FetchInit),
    dispatcher: pool,
  });
  return res as unknown as Response;
}
