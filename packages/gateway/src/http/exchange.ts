/** One call to a backend server whose answer is taken as a whole. */
import { childController } from "@sassafrascleat/runtime";
import {
  CallFailure,
  type Upstream,
  type UpstreamRequest,
} from "./upstream.ts";
import type { RawHeaders } from "./wire_codec.ts";

/** How an exchange ended. */
export enum ExchangeEnd {
  Answered = "answered",
  Failed = "failed",
}

/** A whole answer. */
export interface Answered {
  end: ExchangeEnd.Answered;
  status: number;
  headers: RawHeaders;
  body: Buffer;
  elapsedMs: number;
}

/** No whole answer came. */
export interface Failed {
  end: ExchangeEnd.Failed;
  failure: CallFailure;
  /** The request may have reached the backend server. */
  sent: boolean;
  /** The time-out of this exchange ended it, not its caller. */
  timedOut: boolean;
  message: string;
  elapsedMs: number;
}

export type Exchange = Answered | Failed;

/** Largest answer that is kept in memory, in bytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Sends `req` and collects its answer, for at most `timeoutMs`. An answer whose
 * head `accept` turns down ends with its connection, since nothing that follows
 * on it can be trusted.
 */
export function exchange(
  upstream: Upstream,
  req: UpstreamRequest,
  timeoutMs: number,
  signal: AbortSignal,
  accept?: (status: number, headers: RawHeaders) => boolean,
): Promise<Exchange> {
  return new Promise((resolve) => {
    const startMs = performance.now();
    const controller = childController(signal);
    const chunks: Buffer[] = [];
    let size = 0;
    let status = 0;
    let headers: RawHeaders = [];
    let timedOut = false;
    let foreign = false;
    const timer = setTimeout(() => {
      timedOut = true;
      controller.abort();
    }, Math.max(1, timeoutMs));
    const settle = (result: Exchange) => {
      clearTimeout(timer);
      resolve(result);
    };
    upstream.open(req, {
      onHead(code, raw) {
        status = code;
        headers = raw;
        if (accept && !accept(code, raw)) {
          foreign = true;
          controller.abort();
        }
      },
      onData(chunk) {
        chunks.push(chunk);
        size += chunk.length;
        if (size > MAX_RESPONSE_BYTES) controller.abort();
      },
      onEnd() {
        settle({
          end: ExchangeEnd.Answered,
          status,
          headers,
          body: Buffer.concat(chunks, size),
          elapsedMs: performance.now() - startMs,
        });
      },
      onFailure(failure, sent, message) {
        settle({
          end: ExchangeEnd.Failed,
          failure: foreign ? CallFailure.Foreign : failure,
          sent,
          timedOut,
          message,
          elapsedMs: performance.now() - startMs,
        });
      },
    }, controller.signal);
  });
}
