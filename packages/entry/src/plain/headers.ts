/** Which headers pass between callers and plain services. */
import type { IncomingHttpHeaders } from "node:http";

/** Headers of one connection, or of the entry itself. */
const NOT_FORWARDED = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-api-key",
  "x-request-class",
]);

const NOT_RETURNED = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-request-id",
]);

/** The caller's headers that a plain service sees. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue;
    if (name.startsWith("x-sassafrascleat-")) continue;
    forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return forwarded;
}

/** The service's headers that the caller sees. */
export function returnedHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const names = Object.keys(headers)
    .filter((name) => !NOT_RETURNED.has(name.toLowerCase()));
  return Object.fromEntries(names.map((name) => [name, headers[name]!]));
}
