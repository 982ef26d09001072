/**
 * HTTP server for callers. It limits the size and duration of requests, against
 * hostile or slow callers, and serves health and metrics. All errors have the
 * same JSON form, and every response carries a request id.
 */
import {
  type Outcome,
  OutcomeKind,
  REQUEST_ID_HEADER,
} from "@sassafrascleat/protocol";
import { createLogger, errorMessage } from "@sassafrascleat/runtime";
import fastify, {
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { randomBytes } from "node:crypto";
import type { Socket } from "node:net";
import {
  CALLER_HEADERS_TIMEOUT_MS,
  CALLER_KEEP_ALIVE_MS,
  CALLER_REQUEST_TIMEOUT_MS,
  MAX_HEADER_BYTES,
  REQUEST_ID_BYTES,
  RETRY_ELSEWHERE_MS,
} from "../constants.ts";
import type { Admitter } from "../lifecycle/admitter.ts";
import type { EntryContext } from "../lifecycle/context.ts";
import type { Lanes } from "../lifecycle/lanes.ts";
import { type CallerError, errorBody, refusal } from "./caller_error.ts";
import { registerModelRoutes } from "./model_routes.ts";
import { registerPlainRoutes } from "./plain_routes.ts";
import { sendError } from "./replies.ts";

const log = createLogger("entry:callers");

/** State of the listener in the course of a drain. */
export enum ListenerState {
  Open = "open",
  /** Reports that it is not ready, but still accepts new requests. */
  LameDuck = "lame_duck",
  /** Refuses new requests. */
  Closing = "closing",
}

/** State and services that the routes share. */
export interface Listener {
  readonly ctx: EntryContext;
  readonly lanes: Lanes;
  readonly admitter: Admitter;
  state: ListenerState;
  /** Response headers that make callers close their connection during a drain. */
  connectionHeaders(): Record<string, string>;
  countOutcome(service: string, outcome: Outcome<unknown>): void;
}

/** Creates what the routes share, in the state `Open`. */
export function createListener(
  ctx: EntryContext,
  lanes: Lanes,
  admitter: Admitter,
): Listener {
  return {
    ctx,
    lanes,
    admitter,
    state: ListenerState.Open,
    connectionHeaders(): Record<string, string> {
      if (this.state === ListenerState.Open) return {};
      return { connection: "close" };
    },
    countOutcome(service, outcome) {
      const reason = outcome.kind === OutcomeKind.Answered
        ? ""
        : outcome.reason;
      const labels = { service, outcome: outcome.kind, reason };
      ctx.metrics.requests.inc(labels);
    },
  };
}

/** Creates the HTTP server with all its routes; it does not listen yet. */
export function createCallersServer(listener: Listener): FastifyInstance {
  const { options } = listener.ctx;
  const app = fastify({
    bodyLimit: options.maxBodyBytes,
    requestTimeout: CALLER_REQUEST_TIMEOUT_MS,
    keepAliveTimeout: CALLER_KEEP_ALIVE_MS,
    forceCloseConnections: "idle",
    return503OnClosing: false,
    http: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: CALLER_HEADERS_TIMEOUT_MS,
    },
    genReqId: createRequestId,
    clientErrorHandler: handleClientError,
  });
  registerHealthRoutes(app, listener);
  app.addHook("onRequest", (req, reply, done) => {
    onRequest(listener, req, reply, done);
  });
  app.setErrorHandler((err: FastifyError, req, reply) => {
    return sendError(req, reply, fastifyErrorToCallerError(err, req));
  });
  app.setNotFoundHandler((req, reply) => {
    const message = `no route for ${req.method} ${req.url.split("?")[0]}`;
    return sendError(req, reply, refusal(404, "not_found", message));
  });
  app.register(async (scope) => registerModelRoutes(scope, listener));
  app.register(async (scope) => registerPlainRoutes(scope, listener));
  return app;
}

function onRequest(
  listener: Listener,
  req: FastifyRequest,
  reply: FastifyReply,
  done: () => void,
): void {
  reply.header(REQUEST_ID_HEADER, req.id);
  reply.headers(listener.connectionHeaders());
  const health = req.routeOptions.config as { health?: boolean };
  if (listener.state === ListenerState.Closing && !health.health) {
    const err = refusal(503, "draining", "this entry is draining; ask another");
    sendError(req, reply, { ...err, retryAfterMs: RETRY_ELSEWHERE_MS });
    return;
  }
  if (!isConfigured(listener) && !health.health) {
    const message = "this entry has no configuration yet; ask another";
    const err = refusal(503, "not_configured", message);
    sendError(req, reply, { ...err, retryAfterMs: RETRY_ELSEWHERE_MS });
    return;
  }
  done();
}

/**
 * Whether any configuration change has been applied here. A new entry has none
 * as long as it reaches neither the store nor a peer.
 */
function isConfigured(listener: Listener): boolean {
  return listener.ctx.options.config.sequence > 0;
}

function readiness(listener: Listener): string {
  if (listener.state !== ListenerState.Open) return "draining";
  return isConfigured(listener) ? "ready" : "not_configured";
}

function registerHealthRoutes(app: FastifyInstance, listener: Listener): void {
  const config = { health: true };
  app.get("/healthz", { config }, () => ({ status: "ok" }));
  app.get("/readyz", { config }, (_req, reply) => {
    const status = readiness(listener);
    return reply.code(status === "ready" ? 200 : 503).send({ status });
  });
  app.get("/metrics", { config }, async (_req, reply) => {
    const { registry, queued } = listener.ctx.metrics;
    for (const { service, length } of listener.lanes.queueLengths()) {
      queued.set({ service }, length);
    }
    return reply.type(registry.contentType).send(await registry.metrics());
  });
}

const CALLER_ERROR_BY_FASTIFY_CODE: Record<string, CallerError> = {
  FST_ERR_CTP_INVALID_MEDIA_TYPE: refusal(
    415,
    "unsupported_media_type",
    "send the body as application/json",
  ),
  FST_ERR_CTP_BODY_TOO_LARGE: refusal(
    413,
    "body_too_large",
    "the body is larger than this entry accepts",
  ),
  FST_ERR_CTP_EMPTY_JSON_BODY: refusal(
    400,
    "malformed_json",
    "the body is empty; send a JSON object",
  ),
  FST_ERR_CTP_INVALID_JSON_BODY: refusal(
    400,
    "malformed_json",
    "the body is not valid JSON",
  ),
};

function fastifyErrorToCallerError(
  err: FastifyError,
  req: FastifyRequest,
): CallerError {
  const known = CALLER_ERROR_BY_FASTIFY_CODE[err.code];
  if (known) return known;
  if (err instanceof SyntaxError) {
    return CALLER_ERROR_BY_FASTIFY_CODE.FST_ERR_CTP_INVALID_JSON_BODY!;
  }
  const status = err.statusCode ?? 500;
  if (status < 500) return refusal(status, "invalid_request", err.message);
  log("failed", { request: req.id, error: errorMessage(err) });
  const failed = refusal(500, "internal_error", "internal error in this entry");
  return { ...failed, outcome: OutcomeKind.Unknown };
}

/**
 * Answers a request that Node.js could not parse, because it is not HTTP, its
 * headers are too large or it took too long, and closes the connection.
 */
function handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
  if (err.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const callerError = clientErrorOf(err.code);
  const requestId = createRequestId();
  const body = JSON.stringify(errorBody(callerError, requestId));
  socket.end(
    `HTTP/1.1 ${callerError.status} Bad Request\r\n` +
      `${REQUEST_ID_HEADER}: ${requestId}\r\n` +
      `content-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}

function clientErrorOf(code: string | undefined): CallerError {
  if (code === "HPE_HEADER_OVERFLOW") {
    return refusal(431, "headers_too_large", "the headers are too large");
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return refusal(
      408,
      "request_timeout",
      "the request was not received in time",
    );
  }
  return refusal(400, "malformed_request", "this is not a valid HTTP request");
}

/** Creates a random request id, unique across all processes. */
function createRequestId(): string {
  return randomBytes(REQUEST_ID_BYTES).toString("base64url");
}
