/** Response helpers that all routes of the callers' listener share. */
import { REQUEST_ID_HEADER } from "@sassafrascleat/protocol";
import type { FastifyReply, FastifyRequest } from "fastify";
import { AbortCause } from "../lifecycle/call.ts";
import {
  type CallerError,
  errorBody,
  retryAfterSeconds,
} from "./caller_error.ts";

/** Sends `err` as the response. */
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

/** A signal that aborts when the caller disconnects before its response is complete. */
export function callerSignal(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  const res = reply.raw;
  res.once("close", () => {
    if (!res.writableFinished) controller.abort(AbortCause.CallerGone);
  });
  if (res.destroyed) controller.abort(AbortCause.CallerGone);
  return controller.signal;
}
