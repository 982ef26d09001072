/**
 * Control calls to backend servers: those that a router makes for itself rather
 * than for a caller. The result of each says what its response proves about the
 * call. A connection whose response belongs to something else is closed: all
 * later responses on it may be late as well.
 */
import { randomUUID } from "node:crypto";
import type { Backend } from "../backends/backend.ts";
import {
  exchange,
  ExchangeOutcome,
  type ExchangeResponse,
  type ExchangeResult,
} from "../http/exchange.ts";
import type { Upstream } from "../http/upstream.ts";
import type { HeaderCodec, RawHeaders } from "../http/wire_codec.ts";
import {
  classifyControlReply,
  type ControlCallIdentity,
  ControlVerdict,
} from "./reply_verdict.ts";

/** One control call. */
export interface ControlCall {
  backend: Backend;
  method: string;
  path: string;
  /** JSON text. @default none */
  body?: string;
  /** Timeout in milliseconds; may be `Infinity`. */
  timeoutMs: number;
  /**
   * Uses a connection of its own, so that no late response to an earlier call
   * can be taken for the one to this call. @default false
   */
  newConnection?: boolean;
}

/** What became of a control call. */
export type ControlReply =
  | {
    verdict: ControlVerdict.Own | ControlVerdict.Unproved;
    exchange: ExchangeResponse;
  }
  | {
    verdict: ControlVerdict.NotExecuted | ControlVerdict.Unknown;
    exchange: ExchangeResult;
  };

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  upstream: Upstream;
  codec: HeaderCodec;
}

/** Makes control calls and judges their responses. */
export class ControlClient {
  readonly #upstream: Upstream;
  readonly #codec: HeaderCodec;

  constructor({ upstream, codec }: ControlClientOptions) {
    this.#upstream = upstream;
    this.#codec = codec;
  }

  /** Makes one call; it is given up when `signal` aborts. */
  async call(call: ControlCall, signal: AbortSignal): Promise<ControlReply> {
    const { backend, method, path, body, newConnection = false } = call;
    const callId = needsId(call) ? randomUUID() : undefined;
    const identity = { callId, isFirst: newConnection };
    const result = await exchange(
      this.#upstream,
      {
        backend,
        method,
        path,
        headers: this.#codec.buildControlHeaders({
          callId,
          backendId: backend.id,
        }),
        body: body === undefined ? undefined : Buffer.from(body),
        newConnection,
      },
      call.timeoutMs,
      signal,
      (status, headers) =>
        this.#classify(status, headers, identity) !== ControlVerdict.Unknown,
    );
    return this.#judge(result, identity);
  }

  #judge(result: ExchangeResult, identity: ControlCallIdentity): ControlReply {
    if (result.end === ExchangeOutcome.Failed) {
      const verdict = result.sent
        ? ControlVerdict.Unknown
        : ControlVerdict.NotExecuted;
      return { verdict, exchange: result };
    }
    const { status, headers } = result;
    const verdict = this.#classify(status, headers, identity);
    return { verdict, exchange: result };
  }

  #classify(
    status: number,
    headers: RawHeaders,
    identity: ControlCallIdentity,
  ): ControlVerdict {
    const metadata = this.#codec.parseResponse(status, headers);
    return classifyControlReply(metadata, identity);
  }
}

/**
 * Whether the response is told from late ones by an id. Plain servers have no
 * control interface: they would run a call with an id like a caller's request.
 */
function needsId({ backend, newConnection }: ControlCall): boolean {
  return backend.stage !== undefined && !newConnection;
}
