/**
 * Sends server-sent events to one caller. The response headers are written with
 * the first event, so that a request that fails earlier still gets an error
 * status. Writes wait for the caller to read. A caller that does not read for
 * too long is disconnected, which bounds the memory for buffered events.
 */
import type { ServerResponse } from "node:http";

/** An event stream on one HTTP response. */
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

  /** Whether the response headers were written. */
  get started(): boolean {
    return this.#res.headersSent;
  }

  /**
   * Writes one event. Returns undefined if more can be written at once, or a
   * promise that resolves when the caller has read enough or has disconnected.
   */
  send(data: object | string): Promise<void> | undefined {
    if (!this.started) this.#writeHead();
    const text = typeof data === "string" ? data : JSON.stringify(data);
    const belowHighWaterMark = this.#res.write(`data: ${text}\n\n`);
    return belowHighWaterMark ? undefined : this.#waitForDrain();
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

  #waitForDrain(): Promise<void> {
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
