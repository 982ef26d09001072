/**
 * HTTP client for `PlainBackend`. Each call opens a new connection. A middlebox
 * may have dropped the state of an idle connection; a request sent on it would
 * be lost without an error. Some calls must not be repeated, so the outcome of
 * such a call could no longer be determined.
 */
import { deadlineSignal, errorMessage } from "@sassafrascleat/runtime";
import { Agent, DecoratorHandler, type Dispatcher, request } from "undici";
import { ENGINE_CONNECT_TIMEOUT_MS } from "./constants.ts";
import {
  type EnginePlainRequest,
  type EnginePlainResult,
  EngineStatus,
  type PlainBackend,
} from "./engine.ts";

/** Header with the call id, sent with every call to a plain service. */
export const CALL_ID_HEADER = "x-call-id";

/** Options of `createHttpPlainBackend`. */
export interface HttpPlainOptions {
  /** Base URL of the plain service, `http://ip:port`. */
  baseUrl: string;
}

/** Creates a client for the plain service at `baseUrl`. */
export function createHttpPlainBackend(raw: HttpPlainOptions): PlainBackend {
  return new HttpPlainBackend(raw.baseUrl);
}

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "transfer-encoding",
  "upgrade",
  "expect",
  "te",
  "trailer",
]);

/** Wraps `handler` to call `onSend` before the first byte of a request is written. */
function notifyBeforeSend(
  handler: Dispatcher.DispatchHandler,
  onSend: () => void,
): Dispatcher.DispatchHandler {
  const decorated = new DecoratorHandler(handler) as Dispatcher.DispatchHandler;
  const originalOnRequestStart = decorated.onRequestStart?.bind(decorated);
  decorated.onRequestStart = (controller, context) => {
    onSend();
    originalOnRequestStart?.(controller, context);
  };
  return decorated;
}

class HttpPlainBackend implements PlainBackend {
  readonly #baseUrl: string;
  readonly #agent = new Agent({
    pipelining: 0,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: ENGINE_CONNECT_TIMEOUT_MS },
  });

  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  async call(
    req: EnginePlainRequest,
    signal: AbortSignal,
  ): Promise<EnginePlainResult> {
    let sent = false;
    const dispatcher = this.#agent.compose((dispatch) => (opts, handler) =>
      dispatch(opts, notifyBeforeSend(handler, () => sent = true))
    );
    try {
      const res = await request(this.#baseUrl + req.path, {
        method: req.method as Dispatcher.HttpMethod,
        headers: { ...endToEndHeaders(req.headers), [CALL_ID_HEADER]: req.id },
        body: req.bodyBase64 ? Buffer.from(req.bodyBase64, "base64") : null,
        signal: deadlineSignal(req.timeoutMs, signal),
        dispatcher,
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      const answer = {
        status: res.statusCode,
        headers: endToEndHeaders(joinHeaderValues(res.headers)),
        bodyBase64: body.toString("base64"),
      };
      return { status: EngineStatus.Ok, answer };
    } catch (err) {
      const message = errorMessage(err);
      return { status: EngineStatus.Unreachable, sent, message };
    }
  }
}

function endToEndHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const remaining = Object.entries(headers)
    .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name.toLowerCase()));
  return Object.fromEntries(remaining);
}

function joinHeaderValues(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) joined[name] = String(value);
  }
  return joined;
}
