/** Routes under `/services/NAME/*`, which call plain (non-model) services. */
import {
  ObjectKind,
  type PlainServiceConfig,
  ServiceKind,
} from "@sassafrascleat/config";
import {
  type Outcome,
  OutcomeKind,
  type PlainAnswer,
  REQUEST_ID_HEADER,
} from "@sassafrascleat/protocol";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import {
  hashCall,
  hashKey,
  IDEMPOTENCY_KEY_HEADER,
  isValidKey,
} from "../claims/idempotency_key.ts";
import { KeyedCall } from "../claims/keyed_call.ts";
import type { Admission } from "../lifecycle/admitter.ts";
import { PlainCall } from "../plain/plain_call.ts";
import type { PlainHttpRequest } from "../plain/plain_parts.ts";
import { forwardedHeaders, returnedHeaders } from "../plain/headers.ts";
import { isRepeatable } from "../plain/repeatable.ts";
import { type Caller, identifyCaller } from "./caller.ts";
import { callerErrorOf, refusal } from "./caller_error.ts";
import type { Listener } from "./listener.ts";
import { callerSignal, sendError } from "./replies.ts";

/** Registers the routes of plain services; bodies are passed on unparsed. */
export function registerPlainRoutes(
  app: FastifyInstance,
  listener: Listener,
): void {
  app.removeAllContentTypeParsers();
  app.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_req, body, done) => done(null, body),
  );
  const routes = new PlainRoutes(listener);
  const handler = (req: FastifyRequest, reply: FastifyReply) =>
    routes.answer(req, reply);
  app.route({
    method: ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
    url: "/services/:service/*",
    handler,
  });
}

class PlainRoutes {
  readonly #listener: Listener;

  constructor(listener: Listener) {
    this.#listener = listener;
  }

  async answer(
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { service: name } = req.params as { service: string };
    const service = this.#findService(name);
    if (!service) {
      const message = `there is no plain service ${JSON.stringify(name)}`;
      return sendError(req, reply, refusal(404, "unknown_service", message));
    }
    const lane = this.#listener.lanes.of(service);
    const { config } = this.#listener.ctx.options;
    const caller = identifyCaller(req.headers, config, lane.policy);
    if (!caller.ok) return sendError(req, reply, caller.err);
    const key = idempotencyKeyOf(req);
    if (key !== undefined && !isValidKey(key)) {
      const message = "Idempotency-Key is 1 to 255 printable ASCII characters";
      return sendError(req, reply, refusal(400, "invalid_key", message));
    }
    const outcome = await this.#admitAndRun(req, reply, service, caller.caller);
    this.#listener.countOutcome(service.name, outcome);
    if (outcome.kind !== OutcomeKind.Answered) {
      return sendError(req, reply, callerErrorOf(outcome));
    }
    return this.#sendAnswer(req, reply, outcome.value);
  }

  async #admitAndRun(
    req: FastifyRequest,
    reply: FastifyReply,
    service: PlainServiceConfig,
    caller: Caller,
  ): Promise<Outcome<PlainAnswer>> {
    const { lanes, admitter } = this.#listener;
    const result = admitter.admit({
      requestId: req.id,
      service,
      lane: lanes.of(service),
      pool: service.pool,
      ...caller,
      promptTokens: 0,
      maxOutputTokens: 0,
      expectedOutputTokens: 0,
      pieceHashes: [],
      signal: callerSignal(reply),
    });
    if (!result.admitted) return result.refused;
    const { admission } = result;
    try {
      return await this.#run(req, service, admission);
    } finally {
      admission.close();
    }
  }

  #run(
    req: FastifyRequest,
    service: PlainServiceConfig,
    admission: Admission,
  ): Promise<Outcome<PlainAnswer>> {
    const { ctx } = this.#listener;
    const { call, ticket, lane } = admission;
    const httpRequest = plainHttpRequestOf(req, service.name);
    const repeatable = isRepeatable(
      service,
      httpRequest.method,
      httpRequest.path,
    );
    const parts = { ctx, lane, service, httpRequest, ticket, repeatable };
    const key = idempotencyKeyOf(req);
    if (key === undefined || repeatable) {
      return new PlainCall(call, parts).run();
    }
    const { method, path, bodyBase64 } = httpRequest;
    return new KeyedCall(call, parts, ctx.claims, {
      keyHash: hashKey(service.name, call.req.customer, key),
      bodyHash: hashCall(method, path, bodyBase64),
    }).run();
  }

  #sendAnswer(
    req: FastifyRequest,
    reply: FastifyReply,
    answer: PlainAnswer,
  ): FastifyReply {
    return reply
      .code(answer.status)
      .headers(returnedHeaders(answer.headers))
      .header(REQUEST_ID_HEADER, req.id)
      .send(Buffer.from(answer.bodyBase64, "base64"));
  }

  #findService(name: string): PlainServiceConfig | undefined {
    const { config } = this.#listener.ctx.options;
    const service = config.get(ObjectKind.Service, name)?.object;
    return service?.kind === ServiceKind.Plain ? service : undefined;
  }
}

function plainHttpRequestOf(
  req: FastifyRequest,
  service: string,
): PlainHttpRequest {
  const body = req.body as Buffer | undefined;
  return {
    method: req.method,
    path: req.url.slice(`/services/${service}`.length),
    headers: forwardedHeaders(req.headers),
    bodyBase64: body ? body.toString("base64") : "",
  };
}

function idempotencyKeyOf(req: FastifyRequest): string | undefined {
  const key = req.headers[IDEMPOTENCY_KEY_HEADER];
  return Array.isArray(key) ? key.join(",") : key;
}
