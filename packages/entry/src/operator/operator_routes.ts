/**
 * The operators' HTTP API: changes to the configuration, the current
 * configuration, the audit trail, status and drains. Every call needs one of the
 * operator secrets; the name of the secret is the author in the audit trail.
 */
import {
  applyRequestSchema,
  type ChangeLog,
  drainBodySchema,
  EvaluationKind,
  historyQuerySchema,
  LogReadStatus,
  type MemoryReplica,
  ObjectKind,
  OperatorErrorCode,
  toProposal,
  type ValidateReply,
  validateRequestSchema,
} from "@sassafrascleat/config";
import {
  createLogger,
  deadlineSignal,
  matchSecret,
  type Secret,
} from "@sassafrascleat/runtime";
import type {
  FastifyError,
  FastifyInstance,
  FastifyPluginAsync,
  FastifyReply,
  FastifyRequest,
} from "fastify";
import { HISTORY_TIMEOUT_MS, PROPOSE_TIMEOUT_MS } from "./constants.ts";
import { outcomeStatus, parseMessage, sendError } from "./replies.ts";

const log = createLogger("operator");

/** Options of the operators' API. */
export interface OperatorRouteOptions {
  changeLog: ChangeLog;
  replica: MemoryReplica;
  /** Operator secrets; two may be valid at once while one is rotated. */
  secrets: readonly Secret[];
  /** The status document. */
  status: () => Promise<unknown>;
  /** Starts or cancels the drain of a backend server; undefined if it is unknown. */
  drain: (name: string, leaving: boolean) => Promise<unknown>;
  /** Aborts calls in progress when the daemon stops. @default none */
  signal?: AbortSignal;
}

const BEARER = /^Bearer (\S+)$/;

function bearerToken(req: FastifyRequest): string | undefined {
  return BEARER.exec(req.headers.authorization ?? "")?.[1];
}

function isObjectKind(kind: string): kind is ObjectKind {
  return Object.values<string>(ObjectKind).includes(kind);
}

/** Answers a request that could not be parsed, or whose handler failed. */
function handleError(err: FastifyError, res: FastifyReply): FastifyReply {
  if ((err.statusCode ?? 500) < 500) {
    return sendError(res, OperatorErrorCode.BadRequest, err.message);
  }
  log("request_failed", { message: err.message });
  const message = "the daemon could not serve the call; see its log";
  return sendError(res, OperatorErrorCode.Internal, message);
}

interface ObjectParams {
  kind: string;
  name: string;
}

class OperatorRoutes {
  readonly #options: OperatorRouteOptions;
  readonly #authors = new WeakMap<FastifyRequest, string>();

  constructor(options: OperatorRouteOptions) {
    this.#options = options;
  }

  /** Adds the routes to a server. */
  register(server: FastifyInstance): void {
    server.setErrorHandler<FastifyError>((err, _req, res) =>
      handleError(err, res)
    );
    server.addHook("onRequest", (req, res) => this.#authorize(req, res));
    server.post("/v1/apply", (req, res) => this.#apply(req, res));
    server.post("/v1/validate", (req, res) => this.#validate(req, res));
    server.get<{ Params: ObjectParams }>(
      "/v1/objects/:kind",
      (req, res) => this.#list(req.params.kind, res),
    );
    server.get<{ Params: ObjectParams }>(
      "/v1/objects/:kind/:name",
      (req, res) => this.#get(req.params, res),
    );
    server.get("/v1/history", (req, res) => this.#history(req, res));
    server.get("/v1/status", () => this.#options.status());
    server.post("/v1/drain", (req, res) => this.#drain(req, res));
  }

  async #authorize(
    req: FastifyRequest,
    res: FastifyReply,
  ): Promise<FastifyReply | undefined> {
    const secret = matchSecret(bearerToken(req), this.#options.secrets);
    if (secret) {
      this.#authors.set(req, secret.name);
      return undefined;
    }
    const message = "send an operator secret as a bearer token";
    return sendError(res, OperatorErrorCode.NotAuthorized, message);
  }

  #deadline(timeoutMs: number): AbortSignal {
    return deadlineSignal(timeoutMs, this.#options.signal);
  }

  async #apply(req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const parsed = parseMessage(applyRequestSchema, req.body, res);
    if (!parsed.ok) return parsed.reply;
    const { patchId, change, repeated } = parsed.value;
    const author = this.#authors.get(req) ?? "";
    const outcome = await this.#options.changeLog.propose(
      { ...toProposal(change, patchId, author), repeated },
      this.#deadline(PROPOSE_TIMEOUT_MS),
    );
    return res.code(outcomeStatus(outcome.kind)).send(outcome);
  }

  async #validate(
    req: FastifyRequest,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    const parsed = parseMessage(validateRequestSchema, req.body, res);
    if (!parsed.ok) return parsed.reply;
    const { replica } = this.#options;
    const proposal = toProposal(parsed.value.change, "validate", "validate");
    const evaluation = replica.evaluate(proposal);
    const reply: ValidateReply = {
      valid: evaluation.kind === EvaluationKind.Valid,
      sequence: replica.sequence,
      issues: evaluation.kind === EvaluationKind.Invalid
        ? evaluation.issues
        : [],
    };
    if (evaluation.kind === EvaluationKind.Outdated) {
      reply.currentVersion = evaluation.currentVersion;
    }
    return res.send(reply);
  }

  async #list(kind: string, res: FastifyReply): Promise<FastifyReply> {
    if (!isObjectKind(kind)) return this.#sendUnknownKind(kind, res);
    const { replica } = this.#options;
    const { sequence } = replica;
    return res.send({ sequence, objects: replica.list(kind) });
  }

  async #get(params: ObjectParams, res: FastifyReply): Promise<FastifyReply> {
    const { kind, name } = params;
    if (!isObjectKind(kind)) return this.#sendUnknownKind(kind, res);
    const { replica } = this.#options;
    const found = replica.get(kind, name);
    if (found) return res.send({ sequence: replica.sequence, ...found });
    const message = `there is no ${kind} ${name}; list the ${kind} objects`;
    return sendError(res, OperatorErrorCode.NotFound, message);
  }

  #sendUnknownKind(kind: string, res: FastifyReply): FastifyReply {
    const kinds = Object.values(ObjectKind).join(", ");
    const message = `there is no kind ${kind}; use one of ${kinds}`;
    return sendError(res, OperatorErrorCode.NotFound, message);
  }

  async #history(
    req: FastifyRequest,
    res: FastifyReply,
  ): Promise<FastifyReply> {
    const parsed = parseMessage(historyQuerySchema, req.query, res);
    if (!parsed.ok) return parsed.reply;
    const signal = this.#deadline(HISTORY_TIMEOUT_MS);
    const result = await this.#options.changeLog.history(parsed.value, signal);
    if (result.status === LogReadStatus.Ok) {
      return res.send({ changes: result.changes });
    }
    return sendError(res, OperatorErrorCode.Unavailable, result.message);
  }

  async #drain(req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const parsed = parseMessage(drainBodySchema, req.body, res);
    if (!parsed.ok) return parsed.reply;
    const { name, leaving } = parsed.value;
    const reply = await this.#options.drain(name, leaving);
    if (reply !== undefined) return res.send(reply);
    const message = `no backend server ${name} is known here; see the status`;
    return sendError(res, OperatorErrorCode.NotFound, message);
  }
}

/** Creates the fastify plugin that serves the operators' API. */
export function createOperatorRoutes(
  options: OperatorRouteOptions,
): FastifyPluginAsync {
  const routes = new OperatorRoutes(options);
  return async (server) => routes.register(server);
}
