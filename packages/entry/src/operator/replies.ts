/** HTTP statuses and error bodies of the operators' API. */
import {
  type Issue,
  type OperatorError,
  OperatorErrorCode,
  ProposeKind,
  toIssues,
} from "@sassafrascleat/config";
import type { FastifyReply } from "fastify";
import type { z } from "zod";

const ERROR_STATUS: Record<OperatorErrorCode, number> = {
  [OperatorErrorCode.BadRequest]: 400,
  [OperatorErrorCode.NotAuthorized]: 401,
  [OperatorErrorCode.NotFound]: 404,
  [OperatorErrorCode.Unavailable]: 503,
  [OperatorErrorCode.Internal]: 500,
};

const OUTCOME_STATUS: Record<ProposeKind, number> = {
  [ProposeKind.Accepted]: 200,
  [ProposeKind.Outdated]: 409,
  [ProposeKind.Invalid]: 422,
  [ProposeKind.NotRun]: 503,
  [ProposeKind.Unknown]: 504,
};

/** The HTTP status of a proposal's outcome. */
export function outcomeStatus(kind: ProposeKind): number {
  return OUTCOME_STATUS[kind];
}

/** Answers with an error. */
export function sendError(
  res: FastifyReply,
  error: OperatorErrorCode,
  message: string,
  issues?: Issue[],
): FastifyReply {
  const body: OperatorError = { error, message, issues };
  return res.code(ERROR_STATUS[error]).send(body);
}

/** A message that was read, or the answer to one that has another form. */
export type Parsed<T> = { ok: true; value: T } | {
  ok: false;
  reply: FastifyReply;
};

/** Reads a message; one that has another form is answered with every error. */
export function parseMessage<S extends z.ZodType>(
  schema: S,
  raw: unknown,
  res: FastifyReply,
): Parsed<z.infer<S>> {
  const result = schema.safeParse(raw);
  if (result.success) return { ok: true, value: result.data };
  const issues = toIssues(raw, result.error);
  const message = "the request has another form than the API takes";
  const reply = sendError(res, OperatorErrorCode.BadRequest, message, issues);
  return { ok: false, reply };
}
