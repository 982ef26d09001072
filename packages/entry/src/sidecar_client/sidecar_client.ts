/**
 * The client of one sidecar. Control calls use tRPC, each with a time limit.
 * After a timeout the connection pools are replaced, so that the retry uses a
 * new connection. Retries are safe, because every call is idempotent by request
 * id and attempt.
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
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { type Secret, sleep } from "@sassafrascleat/runtime";
import type { Readable } from "node:stream";
import type { Pool } from "undici";
import {
  CONTROL_TRIES,
  PREFILL_CALL_TRIES,
  RECONNECT_DELAY_MS,
} from "../constants.ts";
import { Connections } from "./connections.ts";
import { LinkAbortReason, LinkedAbortController } from "./linked_abort.ts";
import type { Watchdog } from "./watchdog.ts";

/** The HTTP response that opens a stream or answers a call. */
export interface RawReply {
  statusCode: number;
  body: Readable;
}

/** Sends one call; resolves with undefined if the reply is not usable. */
type SendAttempt<T> = (signal: AbortSignal) => Promise<T>;

/** Sends calls to the sidecar at one address. */
export class SidecarClient {
  readonly address: string;
  /** Detects calls and streams of this client on which nothing arrives. */
  readonly watchdog: Watchdog;
  readonly #secret: Secret;
  #connections: Connections;
  /** Replaced connections that still have open calls. */
  readonly #closing = new Set<Connections>();
  #inFlight = 0;

  constructor(address: string, secret: Secret, watchdog: Watchdog) {
    this.address = address;
    this.#secret = secret;
    this.watchdog = watchdog;
    this.#connections = this.#connect();
  }

  /** Number of open calls and streams. */
  get inFlight(): number {
    return this.#inFlight;
  }

  reserve(
    req: ReserveRequest,
    signal: AbortSignal,
  ): Promise<ReserveReply | undefined> {
    return this.#callWithRetries(
      CONTROL_TRIES,
      CONTROL_TIMEOUT_MS,
      signal,
      (s) => this.#connections.rpc.reserve.mutate(req, { signal: s }),
    );
  }

  /** Runs a prefill; the call is repeated if no reply arrives in `waitMs`. */
  prefill(
    req: PrefillRequest,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PrefillReply | undefined> {
    return this.#callWithRetries(
      PREFILL_CALL_TRIES,
      waitMs,
      signal,
      (s) => this.#connections.longRpc.prefill.mutate(req, { signal: s }),
    );
  }

  renew(
    req: RenewRequest,
    signal: AbortSignal,
  ): Promise<RenewReply | undefined> {
    return this.#callWithRetries(
      CONTROL_TRIES,
      CONTROL_TIMEOUT_MS,
      signal,
      (s) => this.#connections.rpc.renew.mutate(req, { signal: s }),
    );
  }

  /** Sends a cancel; `Canceller` repeats it until it is acknowledged. */
  cancel(
    req: CancelRequest,
    signal: AbortSignal,
  ): Promise<CancelReply | undefined> {
    return this.#callWithRetries(
      CONTROL_TRIES,
      CONTROL_TIMEOUT_MS,
      signal,
      (s) => this.#connections.rpc.cancel.mutate(req, { signal: s }),
    );
  }

  /** Opens the stream of a granted attempt. Rejects if no headers arrive. */
  start(req: StartRequest, signal: AbortSignal): Promise<RawReply> {
    return this.#post(
      this.#connections.longLived,
      STREAM_START_PATH,
      req,
      signal,
    );
  }

  /** Resumes a stream on another connection. Rejects if no headers arrive. */
  resume(req: ResumeRequest, signal: AbortSignal): Promise<RawReply> {
    return this.#post(
      this.#connections.longLived,
      STREAM_RESUME_PATH,
      req,
      signal,
    );
  }

  /** Sends a plain call without retries; undefined if no reply arrives. */
  call(
    req: PlainCallRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PlainCallReply | undefined> {
    return this.#callWithRetries(
      1,
      timeoutMs,
      signal,
      (s) =>
        this.#postJson(this.#connections.longLived, PLAIN_CALL_PATH, req, s),
    );
  }

  /** Requests the answer of a plain call over a different connection. */
  attach(
    req: PlainAttachRequest,
    signal: AbortSignal,
  ): Promise<PlainCallReply | undefined> {
    const waitMs = req.waitMs + CONTROL_TIMEOUT_MS;
    return this.#callWithRetries(
      1,
      waitMs,
      signal,
      (s) =>
        this.#postJson(this.#connections.control, PLAIN_ATTACH_PATH, req, s),
    );
  }

  /** The connections used for new calls. */
  get connections(): Connections {
    return this.#connections;
  }

  /**
   * Makes later calls use new connections; open calls continue on the old ones.
   * Does nothing if `staleConnections` were replaced before, so that many calls
   * that time out on the same connections replace them only once.
   */
  replaceConnections(staleConnections: Connections): void {
    if (staleConnections !== this.#connections) return;
    this.#connections = this.#connect();
    this.#closing.add(staleConnections);
    const forget = () => this.#closing.delete(staleConnections);
    staleConnections.closeWhenIdle().then(forget, forget);
  }

  /** Closes every connection and aborts the calls on it. */
  async close(): Promise<void> {
    const all = [this.#connections, ...this.#closing];
    await Promise.all(all.map((it) => it.destroy()));
  }

  #connect(): Connections {
    return new Connections(this.address, this.#secret);
  }

  async #callWithRetries<T>(
    tries: number,
    waitMs: number,
    signal: AbortSignal,
    send: SendAttempt<T>,
  ): Promise<T | undefined> {
    this.#inFlight += 1;
    try {
      for (let i = 0; i < tries && !signal.aborted; i++) {
        if (i > 0) await sleep(RECONNECT_DELAY_MS, signal);
        const reply = await this.#callOnce(waitMs, signal, send);
        if (reply !== undefined) return reply;
      }
      return undefined;
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #callOnce<T>(
    waitMs: number,
    signal: AbortSignal,
    send: SendAttempt<T>,
  ): Promise<T | undefined> {
    const link = new LinkedAbortController(signal);
    const usedConnections = this.#connections;
    const watch = this.watchdog.watch(waitMs, () => {
      this.replaceConnections(usedConnections);
      link.abort(LinkAbortReason.Silent);
    });
    try {
      return await send(link.signal);
    } catch {
      return undefined;
    } finally {
      watch.stop();
      link.unlink();
    }
  }

  async #post(
    pool: Pool,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<RawReply> {
    const reply = await pool.request({
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
    pool: Pool,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<PlainCallReply | undefined> {
    const reply = await this.#post(pool, path, body, signal);
    const chunks: Buffer[] = [];
    for await (const chunk of reply.body) chunks.push(chunk);
    if (reply.statusCode !== 200) return undefined;
    return JSON.parse(Buffer.concat(chunks).toString()) as PlainCallReply;
  }
}
