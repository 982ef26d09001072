/** HTTP client of the operator API; failures are returned, not thrown. */
import { OperatorErrorCode } from "@sassafrascleat/config";
import {
  deadlineSignal,
  errorMessage,
  type Secret,
} from "@sassafrascleat/runtime";
import { Agent, request } from "undici";
import { ANSWER_TIMEOUT_MS, CONNECT_TIMEOUT_MS } from "./constants.ts";

/** How a call ended. */
export enum CallKind {
  /** The daemon responded with a JSON document. */
  Answered = "answered",
  /** The connection failed, so the request was not sent. */
  NotSent = "not_sent",
  /** The request may have been sent, but no complete response arrived. */
  NoAnswer = "no_answer",
}

/** A call that got a response of any status. */
export interface AnsweredCall {
  kind: CallKind.Answered;
  status: number;
  body: unknown;
}

/** A call without a response. */
export interface UnansweredCall {
  kind: CallKind.NotSent | CallKind.NoAnswer;
  message: string;
}

/** The result of a call. */
export type CallResult = AnsweredCall | UnansweredCall;

/** Codes of errors that occur before a request is sent. */
const NOT_SENT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** A client of one daemon's operator listener. */
export class OperatorClient {
  readonly #endpoint: string;
  readonly #secret: Secret;

  constructor(endpoint: string, secret: Secret) {
    this.#endpoint = endpoint;
    this.#secret = secret;
  }

  get(path: string): Promise<CallResult> {
    return this.#call("GET", path);
  }

  post(path: string, body: unknown): Promise<CallResult> {
    return this.#call("POST", path, JSON.stringify(body));
  }

  async #call(
    method: "GET" | "POST",
    path: string,
    body?: string,
  ): Promise<CallResult> {
    const dispatcher = new Agent({ connectTimeout: CONNECT_TIMEOUT_MS });
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.#secret.reveal()}`,
    };
    if (body !== undefined) headers["content-type"] = "application/json";
    const signal = deadlineSignal(ANSWER_TIMEOUT_MS);
    try {
      const url = new URL(path, this.#endpoint);
      const options = { method, body, headers, signal, dispatcher };
      const res = await request(url, options);
      const answer = await res.body.json();
      const status = res.statusCode;
      return { kind: CallKind.Answered, status, body: answer };
    } catch (err) {
      const code = (err as { code?: string }).code ?? "";
      const kind = NOT_SENT_ERROR_CODES.has(code)
        ? CallKind.NotSent
        : CallKind.NoAnswer;
      return { kind, message: `${this.#endpoint}: ${errorMessage(err)}` };
    } finally {
      await dispatcher.destroy();
    }
  }
}

/** The `error` field of an error body; undefined for other bodies. */
export function errorCode(body: unknown): OperatorErrorCode | undefined {
  const code = (body as { error?: unknown } | null)?.error;
  return Object.values(OperatorErrorCode).find((known) => known === code);
}
