/**
 * Reads the body of a caller's request within its limit and within the memory
 * that is left. A body of a declared length is admitted or refused when its head
 * has arrived: if bodies only shared what is left as they grow, many at once
 * would all get halfway and none would be served.
 */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";
import { findHeader } from "./lean_request.ts";
import type { MemoryAccount } from "./memory_budget.ts";

/** Why a body was not read. */
export enum BodyFailure {
  TooLarge = "too_large",
  NoMemory = "no_memory",
  /** The connection ended first. */
  Cut = "cut",
}

/** Reads a whole body; what arrives after a failure is discarded. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  account: MemoryAccount,
): Promise<Buffer | BodyFailure> {
  return new Promise((resolve) =>
    new BodyReader(req, maxBytes, account, resolve)
  );
}

/**
 * Discards a body; false if it is longer than `maxBytes` or the connection ended
 * first.
 */
export function discardBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve(false);
    });
    req.once("end", () => resolve(true));
    req.once("close", () => resolve(false));
    req.once("error", () => resolve(false));
  });
}

class BodyReader {
  readonly #maxBytes: number;
  readonly #account: MemoryAccount;
  readonly #settle: (result: Buffer | BodyFailure) => void;
  readonly #bytes: ByteCollector;
  #ended = false;

  constructor(
    req: IncomingMessage,
    maxBytes: number,
    account: MemoryAccount,
    settle: (result: Buffer | BodyFailure) => void,
  ) {
    this.#maxBytes = maxBytes;
    this.#account = account;
    this.#settle = settle;
    const declared = Number(
      findHeader(req.rawHeaders, "content-length") ?? Infinity,
    );
    const isAllowed = declared <= maxBytes;
    const fits = !isAllowed || account.holdBody(declared);
    this.#bytes = new ByteCollector(isAllowed && fits ? declared : undefined);
    if (!fits) this.#end(BodyFailure.NoMemory);
    req.on("data", (chunk: Buffer) => this.#add(chunk));
    req.once("end", () => this.#end(this.#bytes.toBuffer()));
    req.once("close", () => this.#end(BodyFailure.Cut));
    req.once("error", () => this.#end(BodyFailure.Cut));
  }

  #add(chunk: Buffer): void {
    if (this.#ended) return;
    this.#bytes.add(chunk);
    const { size, heldBytes } = this.#bytes;
    if (size > this.#maxBytes) return this.#end(BodyFailure.TooLarge);
    if (!this.#account.holdBody(heldBytes)) this.#end(BodyFailure.NoMemory);
  }

  #end(result: Buffer | BodyFailure): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#bytes.clear();
    this.#settle(result);
  }
}
