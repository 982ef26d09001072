/**
 * What a request has in common with others that may crash a backend server: its
 * shared prompt parts, and the request as a whole. A caller that repeats a
 * request sends it with another id, but with the same path and body.
 */
import { createHash } from "node:crypto";
import type { PromptPart } from "../http/wire_codec.ts";

/** What identifies a request and its prompt. */
export interface KeyedRequest {
  service: string;
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Buffer;
  promptParts: readonly PromptPart[];
}

/** Length of the hash of a request or of a long id, in bytes. */
const HASH_BYTES = 12;
/** Longer ids are hashed, since thousands of keys are remembered. */
const MAX_ID_LENGTH = 64;

/**
 * Keys of one request, computed when they are first needed. They name the
 * service, since another one may run what crashes this one.
 */
export class RequestKeys {
  readonly #req: KeyedRequest;
  #all: readonly string[] | undefined;

  constructor(req: KeyedRequest) {
    this.#req = req;
  }

  get service(): string {
    return this.#req.service;
  }

  /** The key of the whole request. */
  get whole(): string {
    return this.all[0] as string;
  }

  /** The key of the whole request, then those of its shared prompt parts. */
  get all(): readonly string[] {
    this.#all ??= [wholeKey(this.#req), ...partKeys(this.#req)];
    return this.#all;
  }
}

function wholeKey({ service, method, host, target, body }: KeyedRequest) {
  const head = `${method}\n${host.toLowerCase()}\n${target}\n`;
  return `${service}#${hashOf(head, body)}`;
}

/** Keys of the prompt parts, without the last one, which only it has. */
function partKeys({ service, promptParts }: KeyedRequest): string[] {
  return promptParts.slice(0, -1).map(({ id }) =>
    id.length > MAX_ID_LENGTH ? `${service}/#${hashOf(id)}` : `${service}/${id}`
  );
}

function hashOf(...parts: (string | Buffer)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest().subarray(0, HASH_BYTES).toString("hex");
}
