/** Filters the headers that pass between callers and plain services. */
import type { IncomingHttpHeaders } from "node:http";

/** Hop-by-hop headers and headers meant for the entry itself. */
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

/** Returns the caller's headers to forward to a plain service. */
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

/** Returns the service's headers to return to the caller. */
export function returnedHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const names = Object.keys(headers)
    .filter((name) => !NOT_RETURNED.has(name.toLowerCase()));
  return Object.fromEntries(names.map((name) => [name, headers[name]!]));
}
