/** A call to a backend server with a fully buffered response. */
import { childAbortController } from "@sassafrascleat/runtime";
import type { Upstream } from "./upstream.ts";
import { ByteCollector } from "./byte_collector.ts";
import {
  CallFailure,
  declaredBytes,
  type UpstreamRequest,
} from "./upstream_call.ts";
import { MAX_RESPONSE_BYTES } from "./response_limits.ts";
import type { RawHeaders } from "./wire_codec.ts";

/** Outcome of an exchange. */
export enum ExchangeOutcome {
  Answered = "answered",
  Failed = "failed",
}

/** A complete response. */
export interface ExchangeResponse {
  end: ExchangeOutcome.Answered;
  status: number;
  headers: RawHeaders;
  body: Buffer;
  elapsedMs: number;
}

/** No complete response was received. */
export interface ExchangeFailure {
  end: ExchangeOutcome.Failed;
  failure: CallFailure;
  /** The request may have reached the backend server. */
  sent: boolean;
  /** The timeout of this exchange expired; false if `signal` aborted it. */
  timedOut: boolean;
  message: string;
  /** Error code of the connection. */
  code?: string;
  elapsedMs: number;
}

export type ExchangeResult = ExchangeResponse | ExchangeFailure;

const NO_MEMORY = "no memory left for the response";

/**
 * Sends `req` and buffers the response, for at most `timeoutMs`, which may be
 * `Infinity`. If `accept` rejects the response head, the connection is closed,
 * because no later data on it can be trusted.
 */
export function exchange(
  upstream: Upstream,
  req: UpstreamRequest,
  timeoutMs: number,
  signal: AbortSignal,
  accept?: (status: number, headers: RawHeaders) => boolean,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const startMs = performance.now();
    const controller = childAbortController(signal);
    const account = upstream.memory.open();
    let bytes = new ByteCollector();
    let status = 0;
    let headers: RawHeaders = [];
    let timedOut = false;
    let invalidReason: string | undefined;
    const rejectResponse = (reason: string) => {
      invalidReason = reason;
      controller.abort();
    };
    const onTimeout = () => {
      timedOut = true;
      controller.abort();
    };
    const timer = timeoutMs === Infinity
      ? undefined
      : setTimeout(onTimeout, Math.max(1, timeoutMs));
    const settle = (result: ExchangeResult) => {
      clearTimeout(timer);
      bytes.clear();
      account.release();
      // The call is over; this only removes the listener on `signal`.
      controller.abort();
      resolve(result);
    };
    upstream.open(req, {
      onHead(code, raw) {
        status = code;
        headers = raw;
        if (accept && !accept(code, raw)) {
          return rejectResponse("head not accepted");
        }
        const declared = declaredBytes(raw);
        if (declared === undefined || declared > MAX_RESPONSE_BYTES) return;
        if (account.holdResponse(declared)) bytes = new ByteCollector(declared);
        else rejectResponse(NO_MEMORY);
      },
      onData(chunk) {
        if (invalidReason) return;
        bytes.add(chunk);
        if (bytes.size > MAX_RESPONSE_BYTES) {
          rejectResponse(`response longer than ${MAX_RESPONSE_BYTES} bytes`);
        } else if (!account.holdResponse(bytes.heldBytes)) {
          rejectResponse(NO_MEMORY);
        }
      },
      onEnd() {
        settle({
          end: ExchangeOutcome.Answered,
          status,
          headers,
          body: bytes.toBuffer(),
          elapsedMs: performance.now() - startMs,
        });
      },
      onFailure(failure, sent, message, code) {
        settle({
          end: ExchangeOutcome.Failed,
          failure: invalidReason ? CallFailure.InvalidResponse : failure,
          sent,
          timedOut,
          message: invalidReason ?? message,
          code,
          elapsedMs: performance.now() - startMs,
        });
      },
    }, controller.signal);
  });
}
