/** Writes one response to a caller. */
import type { ServerResponse } from "node:http";
import type { Responder } from "../runs/run_context.ts";
import type { MemoryAccount, MemoryBudget } from "./memory_budget.ts";
import type { RawHeaders } from "./wire_codec.ts";

/** Responder for a request of `node:http`. */
export class HttpResponder implements Responder {
  readonly #res: ServerResponse;
  readonly #closing: () => boolean;
  /** For output that the caller hasn't read. */
  readonly #account: MemoryAccount;
  #started = false;
  #onProgress: (() => void) | undefined;

  /** `closing` returns true if the connection must close after the response. */
  constructor(
    res: ServerResponse,
    closing: () => boolean,
    memory: MemoryBudget,
  ) {
    this.#res = res;
    this.#closing = closing;
    this.#account = memory.open();
    res.once("close", () => this.#account.release());
  }

  get started(): boolean {
    return this.#started;
  }

  reply(status: number, headers: RawHeaders, body?: Buffer | string): void {
    // A caller that has received a part must not wait for the rest forever.
    if (this.#started && !this.#res.writableEnded) return this.destroy();
    if (this.#started || this.#res.destroyed) return;
    this.#started = true;
    const bytes = Buffer.from(body ?? "");
    const all = [...headers, "Content-Length", String(bytes.length)];
    this.#writeHead(status, all);
    this.#res.end(bytes);
    this.#account.holdOutput(this.#res.writableLength);
  }

  /** Sends a response without a body, which `endStream` has to end. */
  startEmptyReply(status: number, headers: RawHeaders): void {
    this.startStream(status, [...headers, "Content-Length", "0"]);
    this.#res.flushHeaders();
  }

  startStream(status: number, headers: RawHeaders): void {
    if (this.#started || this.#res.destroyed) return;
    this.#started = true;
    this.#writeHead(status, headers);
  }

  write(bytes: Buffer): boolean {
    if (this.#res.destroyed) return true;
    const flushed = this.#res.write(bytes, () => this.#handleProgress());
    if (!flushed) this.#account.holdOutput(this.#res.writableLength);
    return flushed;
  }

  get waitingBytes(): number {
    return this.#res.writableLength;
  }

  get blocked(): boolean {
    return this.#res.socket === null && !this.#res.writableFinished;
  }

  onceProgress(listener: () => void): void {
    this.#onProgress = listener;
  }

  endStream(): void {
    this.#res.end();
  }

  destroy(): void {
    this.#res.destroy();
  }

  #handleProgress(): void {
    if (this.#res.destroyed) return;
    this.#account.holdOutput(this.#res.writableLength);
    const listener = this.#onProgress;
    this.#onProgress = undefined;
    listener?.();
  }

  #writeHead(status: number, headers: RawHeaders): void {
    const all = this.#closing()
      ? [...headers, "Connection", "close"]
      : [...headers];
    this.#res.writeHead(status, all);
  }
}
