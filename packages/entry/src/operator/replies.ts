/** HTTP statuses and error bodies of the operators' API. */
import {
  type Issue,
  issuesFromZodError,
  type OperatorError,
  OperatorErrorCode,
  ProposeKind,
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

/** Sends an error response. */
export function sendError(
  res: FastifyReply,
  error: OperatorErrorCode,
  message: string,
  issues?: Issue[],
): FastifyReply {
  const body: OperatorError = { error, message, issues };
  return res.code(ERROR_STATUS[error]).send(body);
}

/** A parsed message, or the error response if it does not match its schema. */
export type ParsedMessage<T> = { ok: true; value: T } | {
  ok: false;
  reply: FastifyReply;
};

/** Parses a message; if it does not match the schema, all issues are sent back. */
export function parseMessage<S extends z.ZodType>(
  schema: S,
  raw: unknown,
  res: FastifyReply,
): ParsedMessage<z.infer<S>> {
  const result = schema.safeParse(raw);
  if (result.success) return { ok: true, value: result.data };
  const issues = issuesFromZodError(raw, result.error);
  const message = "the request does not match the schema of this API";
  const reply = sendError(res, OperatorErrorCode.BadRequest, message, issues);
  return { ok: false, reply };
}
