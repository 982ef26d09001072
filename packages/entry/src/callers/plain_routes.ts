/** `/services/NAME/*`: calls to plain services. */
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
import { PlainCall, type PlainInput } from "../plain/plain_call.ts";
import { forwardedHeaders, returnedHeaders } from "../plain/headers.ts";
import { isRepeatable } from "../plain/repeatable.ts";
import { type Caller, identifyCaller } from "./caller.ts";
import { errorOf, refusal } from "./caller_error.ts";
import type { Listener } from "./listener.ts";
import { callerSignal, sendError } from "./replies.ts";

/** Registers the routes of plain services. */
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
  const answer = (req: FastifyRequest, reply: FastifyReply) =>
    routes.answer(req, reply);
  app.route({
    method: ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
    url: "/services/:service/*",
    handler: answer,
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
    const service = this.#service(name);
    if (!service) {
      const message = `there is no plain service ${JSON.stringify(name)}`;
      return sendError(req, reply, refusal(404, "unknown_service", message));
    }
    const lane = this.#listener.lanes.of(service);
    const { config } = this.#listener.ctx.options;
    const caller = identifyCaller(req.headers, config, lane.policy);
    if (!caller.ok) return sendError(req, reply, caller.err);
    const outcome = await this.#call(req, reply, service, caller.caller);
    this.#listener.countOutcome(service.name, outcome);
    if (outcome.kind !== OutcomeKind.Answered) {
      return sendError(req, reply, errorOf(outcome));
    }
    return this.#send(req, reply, outcome.value);
  }

  async #call(
    req: FastifyRequest,
    reply: FastifyReply,
    service: PlainServiceConfig,
    caller: Caller,
  ): Promise<Outcome<PlainAnswer>> {
    const { ctx, lanes, admitter } = this.#listener;
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
    const { call, ticket, lane, close } = result.admission;
    const input = inputOf(req, service.name);
    const repeatable = isRepeatable(service, input.method, input.path);
    const plain = new PlainCall(call, {
      ctx,
      lane,
      service,
      input,
      ticket,
      repeatable,
    });
    try {
      return await plain.run();
    } finally {
      close();
    }
  }

  #send(
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

  #service(name: string): PlainServiceConfig | undefined {
    const { config } = this.#listener.ctx.options;
    const service = config.get(ObjectKind.Service, name)?.object;
    return service?.kind === ServiceKind.Plain ? service : undefined;
  }
}

function inputOf(req: FastifyRequest, service: string): PlainInput {
  const body = req.body as Buffer | undefined;
  return {
    method: req.method,
    path: req.url.slice(`/services/${service}`.length),
    headers: forwardedHeaders(req.headers),
    bodyBase64: body ? body.toString("base64") : "",
  };
}
