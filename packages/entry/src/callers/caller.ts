/** Identifies callers by API key and determines their request class. */
import type { ConfigView, Customer, Policy } from "@sassafrascleat/config";
import { RequestClass } from "@sassafrascleat/protocol";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { type CallerError, refusal } from "./caller_error.ts";

/** Header with the request class that a caller asks for. */
export const REQUEST_CLASS_HEADER = "x-request-class";

/** A caller that passed the checks. */
export interface Caller {
  /** Undefined when the caller presented no known API key. */
  customer: Customer | undefined;
  requestClass: RequestClass;
}

/** A caller, or the error that refuses it. */
export type CallerResult =
  | { ok: true; caller: Caller }
  | { ok: false; err: CallerError };

/** The request classes, least urgent first. */
const CLASSES_BY_URGENCY = [
  RequestClass.Batch,
  RequestClass.Standard,
  RequestClass.Interactive,
];

/** Finds the customer by API key and checks the request class. */
export function identifyCaller(
  headers: IncomingHttpHeaders,
  config: ConfigView,
  policy: Policy,
): CallerResult {
  const key = apiKey(headers);
  const customer = key === undefined
    ? undefined
    : config.customerByKeySha256(sha256(key));
  if (!customer && policy.requireApiKey) {
    const message = key === undefined
      ? "this service needs an API key: send Authorization: Bearer KEY"
      : "the API key is not known";
    return { ok: false, err: refusal(401, "not_authorized", message) };
  }
  return resolveRequestClass(headers, customer, policy);
}

function resolveRequestClass(
  headers: IncomingHttpHeaders,
  customer: Customer | undefined,
  policy: Policy,
): CallerResult {
  const requested = headers[REQUEST_CLASS_HEADER];
  if (requested === undefined) {
    const requestClass = policy.defaultClass;
    return { ok: true, caller: { customer, requestClass } };
  }
  const requestClass = CLASSES_BY_URGENCY.find((it) => it === requested);
  if (!requestClass) {
    const message = `${REQUEST_CLASS_HEADER} is one of ${
      CLASSES_BY_URGENCY.join(", ")
    }`;
    return { ok: false, err: refusal(400, "invalid_request_class", message) };
  }
  const highest = customer?.maxClass ?? policy.defaultClass;
  if (
    CLASSES_BY_URGENCY.indexOf(requestClass) >
      CLASSES_BY_URGENCY.indexOf(highest)
  ) {
    const message = `the highest class for this customer is ${highest}`;
    return { ok: false, err: refusal(403, "class_not_allowed", message) };
  }
  return { ok: true, caller: { customer, requestClass } };
}

function apiKey(headers: IncomingHttpHeaders): string | undefined {
  const bearer = /^Bearer +(\S+)$/i.exec(headers.authorization ?? "");
  if (bearer) return bearer[1];
  const key = headers["x-api-key"];
  return typeof key === "string" && key !== "" ? key : undefined;
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
