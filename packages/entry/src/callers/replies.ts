/** Answers that every route of the callers' listener gives alike. */
import { REQUEST_ID_HEADER } from "@sassafrascleat/protocol";
import type { FastifyReply, FastifyRequest } from "fastify";
import { AbortCause } from "../lifecycle/call.ts";
import {
  type CallerError,
  errorBody,
  retryAfterSeconds,
} from "./caller_error.ts";

/** Sends `err` as the whole answer. */
export function sendError(
  req: FastifyRequest,
  reply: FastifyReply,
  err: CallerError,
): FastifyReply {
  const retryAfter = retryAfterSeconds(err);
  if (retryAfter) reply.header("retry-after", retryAfter);
  return reply
    .code(err.status)
    .header(REQUEST_ID_HEADER, req.id)
    .send(errorBody(err, req.id));
}

/** Aborts when the caller closes its connection before its answer is whole. */
export function callerSignal(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  const res = reply.raw;
  res.once("close", () => {
    if (!res.writableFinished) controller.abort(AbortCause.CallerGone);
  });
  if (res.destroyed) controller.abort(AbortCause.CallerGone);
  return controller.signal;
}
