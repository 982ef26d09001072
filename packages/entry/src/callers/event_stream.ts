/**
 * Server-sent events to one caller. Nothing is written before the first event,
 * so that a request refused until then still gets a proper status. A write
 * waits for the caller to read; one that leaves its stream unread for too long
 * counts as gone, so that memory for it stays bounded.
 */
import type { ServerResponse } from "node:http";

/** Writes events to a caller. */
export class EventStream {
  readonly #res: ServerResponse;
  readonly #headers: Record<string, string>;
  readonly #stallMs: number;

  constructor(
    res: ServerResponse,
    headers: Record<string, string>,
    stallMs: number,
  ) {
    this.#res = res;
    this.#headers = headers;
    this.#stallMs = stallMs;
  }

  /** Whether the answer has begun. */
  get started(): boolean {
    return this.#res.headersSent;
  }

  /**
   * Writes one event. The promise resolves when the caller can take more or is
   * gone; without one it can at once.
   */
  send(data: object | string): Promise<void> | undefined {
    if (!this.started) this.#writeHead();
    const text = typeof data === "string" ? data : JSON.stringify(data);
    const flowing = this.#res.write(`data: ${text}\n\n`);
    return flowing ? undefined : this.#drained();
  }

  end(): void {
    this.#res.end();
  }

  #writeHead(): void {
    this.#res.writeHead(200, {
      ...this.#headers,
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      "x-accel-buffering": "no",
    });
  }

  #drained(): Promise<void> {
    const res = this.#res;
    return new Promise((resolve) => {
      const timer = setTimeout(() => res.destroy(), this.#stallMs);
      const done = () => {
        clearTimeout(timer);
        res.off("drain", done);
        res.off("close", done);
        resolve();
      };
      res.on("drain", done);
      res.on("close", done);
      if (res.destroyed) done();
    });
  }
}
