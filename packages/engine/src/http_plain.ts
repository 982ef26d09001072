/**
 * `PlainBackend` over HTTP. Each call opens a connection of its own: an idle
 * connection that something in between has forgotten would swallow a call that
 * may not be repeated, and its outcome could no longer be told.
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

/** Header with the call id, on every call to a plain service. */
export const CALL_ID_HEADER = "x-call-id";

/** Options of `createHttpPlainBackend`. */
export interface HttpPlainOptions {
  /** Base address of the plain service, `http://ip:port`. */
  baseUrl: string;
}

/** Creates the client of the plain service at `baseUrl`. */
export function createHttpPlainBackend(raw: HttpPlainOptions): PlainBackend {
  return new HttpPlainBackend(raw.baseUrl);
}

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
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

/** Calls `onSend` before the first byte of a call is written. */
function watchSend(
  handler: Dispatcher.DispatchHandler,
  onSend: () => void,
): Dispatcher.DispatchHandler {
  const watched = new DecoratorHandler(handler) as Dispatcher.DispatchHandler;
  const forward = watched.onRequestStart?.bind(watched);
  watched.onRequestStart = (controller, context) => {
    onSend();
    forward?.(controller, context);
  };
  return watched;
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
      dispatch(opts, watchSend(handler, () => sent = true))
    );
    try {
      const res = await request(this.#baseUrl + req.path, {
        method: req.method as Dispatcher.HttpMethod,
        headers: { ...endToEnd(req.headers), [CALL_ID_HEADER]: req.id },
        body: req.bodyBase64 ? Buffer.from(req.bodyBase64, "base64") : null,
        signal: deadlineSignal(req.timeoutMs, signal),
        dispatcher,
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      const answer = {
        status: res.statusCode,
        headers: endToEnd(flatten(res.headers)),
        bodyBase64: body.toString("base64"),
      };
      return { status: EngineStatus.Ok, answer };
    } catch (err) {
      const message = errorMessage(err);
      return { status: EngineStatus.Unreachable, sent, message };
    }
  }
}

function endToEnd(headers: Record<string, string>): Record<string, string> {
  const kept = Object.entries(headers)
    .filter(([name]) => !HOP_HEADERS.has(name.toLowerCase()));
  return Object.fromEntries(kept);
}

function flatten(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = String(value);
  }
  return flat;
}
