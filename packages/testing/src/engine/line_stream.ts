/** Streamed responses of the simulated engine, as NDJSON with heartbeats. */
import {
  encodeEngineLine,
  ENGINE_HEARTBEAT_MS,
  EngineLineKind,
  type EngineStreamLine,
} from "@sassafrascleat/engine";
import type { FastifyReply } from "fastify";

/** An open streamed response. */
export class LineStream {
  readonly #res: FastifyReply["raw"];
  readonly #closed = new AbortController();
  readonly #heartbeat: NodeJS.Timeout;

  constructor(reply: FastifyReply) {
    reply.hijack();
    this.#res = reply.raw;
    this.#res.writeHead(200, { "content-type": "application/x-ndjson" });
    this.#res.flushHeaders();
    this.#res.on("close", () => this.#close());
    this.#res.on("error", () => this.#close());
    this.#heartbeat = setInterval(
      () => this.send({ kind: EngineLineKind.Heartbeat }),
      ENGINE_HEARTBEAT_MS,
    );
  }

  /** Aborts when the client has disconnected or the stream has ended. */
  get signal(): AbortSignal {
    return this.#closed.signal;
  }

  send(line: EngineStreamLine): void {
    if (!this.signal.aborted) this.#res.write(encodeEngineLine(line));
  }

  /** Sends `line`, if given, and ends the response. */
  end(line?: EngineStreamLine): void {
    if (line) this.send(line);
    this.#close();
    this.#res.end();
  }

  #close(): void {
    clearInterval(this.#heartbeat);
    this.#closed.abort();
  }
}
