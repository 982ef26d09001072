/**
 * Responses to input that is rejected before `node:http` has parsed it, with one
 * log line and one count each. Such a request has not run. The volume of log
 * lines is bounded by the logger.
 */
import type { Logger } from "@sassafrascleat/runtime";
import type { InputRejection } from "./caller_input.ts";
import { type FramedHead, FramingFault } from "./request_framer.ts";
import type { RawHeaders } from "./wire_codec.ts";

/** Options of {@link InputRejections}. */
export interface InputRejectionsOptions {
  log: Logger;
  /** Builds the headers that refuse a request for lack of memory. */
  buildNoMemoryHeaders: (headers: RawHeaders) => RawHeaders;
  /** Called for each rejection. */
  onInputRejected?: (reason: InputRejection) => void;
}

const STATUS_LINES: Record<InputRejection, string> = {
  [FramingFault.HeadTooLarge]: "431 Request Header Fields Too Large",
  [FramingFault.EmptyLines]: "400 Bad Request",
  [FramingFault.ChunkFraming]: "400 Bad Request",
  ambiguous: "400 Bad Request",
  no_memory: "503 Service Unavailable",
};

/** Builds the responses, and reports them. */
export class InputRejections {
  readonly #options: InputRejectionsOptions;

  constructor(options: InputRejectionsOptions) {
    this.#options = options;
  }

  /** Returns the whole response. */
  build(reason: InputRejection, head?: FramedHead): string {
    const { log, buildNoMemoryHeaders, onInputRejected } = this.#options;
    onInputRejected?.(reason);
    log("input_rejected", { reason });
    const headers = reason === "no_memory" && head
      ? buildNoMemoryHeaders(readRawHeaders(head.bytes))
      : [];
    const lines = [`HTTP/1.1 ${STATUS_LINES[reason]}`];
    for (let i = 0; i < headers.length; i += 2) {
      lines.push(`${headers[i]}: ${headers[i + 1]}`);
    }
    lines.push("Content-Length: 0", "Connection: close", "", "");
    return lines.join("\r\n");
  }
}

function readRawHeaders(head: Buffer): RawHeaders {
  const lines = head.toString("latin1").split("\r\n").slice(1, -2);
  return lines.flatMap((line) => {
    const colon = line.indexOf(":");
    if (colon < 0) return [];
    return [line.slice(0, colon), line.slice(colon + 1).trim()];
  });
}
