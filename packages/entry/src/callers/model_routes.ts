/** Routes `/v1/completions`, `/v1/chat/completions` and `/v1/models`. */
import {
  type ModelService,
  ObjectKind,
  ServiceKind,
} from "@sassafrascleat/config";
import {
  type Outcome,
  OutcomeKind,
  REQUEST_ID_HEADER,
} from "@sassafrascleat/protocol";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { TokenSink } from "../sidecar_client/attempt_stream.ts";
import type { Admission } from "../lifecycle/admitter.ts";
import { ModelCall } from "../lifecycle/model_call.ts";
import type { ModelAnswer } from "../lifecycle/model_outcome.ts";
import { estimateTokens, pieceHashes } from "../lifecycle/prompt.ts";
import { type Caller, identifyCaller } from "./caller.ts";
import { callerErrorOf, errorBody, refusal } from "./caller_error.ts";
import { EventStream } from "./event_stream.ts";
import {
  type AnswerHead,
  ChunkEncoder,
  completionObject,
  roleChunk,
  textChunk,
  usageChunk,
} from "./model_format.ts";
import {
  ModelApi,
  type ModelRequest,
  parseModelRequest,
} from "./model_request.ts";
import { callerSignal, sendError } from "./replies.ts";
import type { Listener } from "./listener.ts";

/** An admitted model request, and what is needed to answer it. */
interface Exchange {
  req: FastifyRequest;
  reply: FastifyReply;
  body: ModelRequest;
  service: ModelService;
  promptTokens: number;
  admission: Admission;
  head: AnswerHead;
}

/** Registers the routes of model services. */
export function registerModelRoutes(
  app: FastifyInstance,
  listener: Listener,
): void {
  app.removeContentTypeParser("text/plain");
  const routes = new ModelRoutes(listener);
  app.get("/v1/models", () => routes.listModels());
  app.post(
    "/v1/completions",
    (req, reply) => routes.answer(ModelApi.Completions, req, reply),
  );
  app.post(
    "/v1/chat/completions",
    (req, reply) => routes.answer(ModelApi.Chat, req, reply),
  );
}

class ModelRoutes {
  readonly #listener: Listener;

  constructor(listener: Listener) {
    this.#listener = listener;
  }

  listModels(): object {
    const data = this.#modelServices().map((service) => ({
      id: service.model,
      object: "model",
      created: 0,
      owned_by: service.office,
    }));
    return { object: "list", data };
  }

  async answer(
    api: ModelApi,
    req: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply | void> {
    const parsed = parseModelRequest(api, req.body);
    if (!parsed.ok) return sendError(req, reply, parsed.err);
    const body = parsed.request;
    const service = this.#modelServices().find((it) => it.model === body.model);
    if (!service) {
      const message = `no service serves the model ${
        JSON.stringify(body.model)
      }`;
      return sendError(req, reply, refusal(404, "model_not_found", message));
    }
    const lane = this.#listener.lanes.of(service);
    const { config } = this.#listener.ctx.options;
    const caller = identifyCaller(req.headers, config, lane.policy);
    if (!caller.ok) return sendError(req, reply, caller.err);
    const promptTokens = estimateTokens(body.prompt);
    if (promptTokens > service.maxPromptTokens) {
      const message = `the prompt has about ${promptTokens} tokens; ` +
        `${service.name} accepts at most ${service.maxPromptTokens}`;
      return sendError(req, reply, refusal(400, "prompt_too_long", message));
    }
    return this.#admitAndRun(
      req,
      reply,
      body,
      service,
      caller.caller,
      promptTokens,
    );
  }

  async #admitAndRun(
    req: FastifyRequest,
    reply: FastifyReply,
    body: ModelRequest,
    service: ModelService,
    caller: Caller,
    promptTokens: number,
  ): Promise<FastifyReply | void> {
    const { ctx, admitter, lanes } = this.#listener;
    const maxOutputTokens = Math.min(
      service.maxOutputTokens,
      body.maxTokens ?? service.defaultOutputTokens,
    );
    const result = admitter.admit({
      requestId: req.id,
      service,
      lane: lanes.of(service),
      pool: service.decodePool,
      ...caller,
      promptTokens,
      maxOutputTokens,
      expectedOutputTokens: ctx.outputEstimator.expected(
        service.name,
        maxOutputTokens,
        maxOutputTokens,
      ),
      pieceHashes: pieceHashes(body.prompt),
      signal: callerSignal(reply),
    });
    if (!result.admitted) {
      this.#listener.countOutcome(service.name, result.refused);
      return sendError(req, reply, callerErrorOf(result.refused));
    }
    const { admission } = result;
    const head = {
      api: body.api,
      id: req.id,
      model: service.model,
      created: Math.floor(Date.now() / 1_000),
    };
    const exchange = {
      req,
      reply,
      body,
      service,
      promptTokens,
      admission,
      head,
    };
    try {
      return await (body.stream
        ? this.#streamCompletion(exchange)
        : this.#sendCompletion(exchange));
    } finally {
      admission.close();
    }
  }

  async #sendCompletion(exchange: Exchange): Promise<FastifyReply> {
    const { req, reply, head, promptTokens } = exchange;
    const pieces: string[] = [];
    const outcome = await this.#run(exchange, (tokens) => {
      pieces.push(...tokens);
      return undefined;
    });
    if (outcome.kind !== OutcomeKind.Answered) {
      return sendError(req, reply, callerErrorOf(outcome));
    }
    const { finish, outputTokens } = outcome.value;
    const usage = { promptTokens, outputTokens };
    return reply
      .header(REQUEST_ID_HEADER, req.id)
      .send(completionObject(head, pieces.join(""), finish, usage));
  }

  async #streamCompletion(exchange: Exchange): Promise<FastifyReply | void> {
    const { req, reply, head, body } = exchange;
    const { callerStallMs } = this.#listener.ctx.options;
    const headers = {
      [REQUEST_ID_HEADER]: req.id,
      ...this.#listener.connectionHeaders(),
    };
    const events = new EventStream(reply.raw, headers, callerStallMs);
    const chunks = new ChunkEncoder(head);
    const outcome = await this.#run(exchange, (tokens) => {
      if (!events.started) {
        reply.hijack();
        if (body.api === ModelApi.Chat) void events.send(roleChunk(head));
      }
      return events.send(chunks.encode(tokens.join("")));
    });
    if (outcome.kind !== OutcomeKind.Answered && !events.started) {
      return sendError(req, reply, callerErrorOf(outcome));
    }
    if (!events.started) reply.hijack();
    await this.#endStream(events, exchange, outcome);
  }

  /** Writes the events after the last token, or an error, and ends the stream. */
  async #endStream(
    events: EventStream,
    exchange: Exchange,
    outcome: Outcome<ModelAnswer>,
  ): Promise<void> {
    const { req, head, body, promptTokens } = exchange;
    if (outcome.kind === OutcomeKind.Answered) {
      const { finish, outputTokens } = outcome.value;
      const usage = { promptTokens, outputTokens };
      await events.send(textChunk(head, "", finish));
      if (body.includeUsage) await events.send(usageChunk(head, usage));
      await events.send("[DONE]");
    } else {
      await events.send(errorBody(callerErrorOf(outcome), req.id));
    }
    events.end();
  }

  async #run(
    exchange: Exchange,
    sink: TokenSink,
  ): Promise<Outcome<ModelAnswer>> {
    const { service, body, admission } = exchange;
    const { call, ticket, lane } = admission;
    const { ctx } = this.#listener;
    const model = new ModelCall(call, {
      ctx,
      lane,
      service,
      prompt: body.prompt,
      ticket,
      sink,
    });
    const outcome = await model.run();
    this.#listener.countOutcome(service.name, outcome);
    return outcome;
  }

  #modelServices(): ModelService[] {
    return this.#listener.ctx.options.config.list(ObjectKind.Service)
      .map((it) => it.object)
      .filter((it): it is ModelService => it.kind === ServiceKind.Model);
  }
}
