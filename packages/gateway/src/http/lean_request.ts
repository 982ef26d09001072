/**
 * A request of `node:http` without an object of its headers: that object takes
 * several hundred bytes of heap for each header line, and `node:http` builds it
 * for every request to read two of them.
 */
import { IncomingMessage } from "node:http";
import type { RawHeaders } from "./wire_codec.ts";

/** Headers that `node:http` reads of a request. */
const READ_HEADERS = ["host", "expect"];

/** Request whose `headers` has only what `node:http` itself reads. */
export class LeanRequest extends IncomingMessage {}

// The type of the base class declares a field, which an accessor can't override.
Object.defineProperty(LeanRequest.prototype, "headers", {
  get(this: LeanRequest): Record<string, string> {
    const headers: Record<string, string> = {};
    for (const name of READ_HEADERS) {
      const value = findHeader(this.rawHeaders, name);
      if (value !== undefined) headers[name] = value;
    }
    return headers;
  },
});

/** The value of the first header with this name, in any case. */
export function findHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  const wanted = name.toLowerCase();
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const given = headers[i] as string;
    if (given.length === wanted.length && given.toLowerCase() === wanted) {
      return headers[i + 1];
    }
  }
  return undefined;
}
