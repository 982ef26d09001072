/**
 * A box between one entry and one sidecar that sees whole messages: it loses,
 * repeats and delays them, cuts streams, repeats frames, and breaks a rule of
 * the product where the run asks for it.
 */
import {
  decodeFrame,
  encodeFrame,
  type PlainCallReply,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import Fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { AddressInfo } from "node:net";
import { Agent, type Dispatcher, request } from "undici";
import { splitStream } from "../caller/split_stream.ts";
import type { Break } from "./breaks.ts";
import {
  breakPlainReply,
  forgeReply,
  FrameRepeater,
  kindOf,
  MessageKind,
} from "./messages.ts";

/** What the box does to the next messages; counts are used up. */
export interface BoxFaults {
  /** Next requests that are cut before they are delivered. */
  loseRequests: number;
  /** Next replies that are cut after the request took effect. */
  loseReplies: number;
  /** Next requests that are delivered twice. */
  duplicate: number;
  /** Delay of the next dispatch, in milliseconds; 0 delays none. */
  holdDispatchMs: number;
  /** Every token frame is sent twice. */
  repeatFrames: boolean;
  /** Nothing gets through in either direction. */
  cut: boolean;
}

const NO_BOX_FAULTS: BoxFaults = {
  loseRequests: 0,
  loseReplies: 0,
  duplicate: 0,
  holdDispatchMs: 0,
  repeatFrames: false,
  cut: false,
};

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** A running box. */
export class MessageBox {
  readonly #app: FastifyInstance;
  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  readonly #rule: Break | undefined;
  readonly #target: () => string;
  readonly #streams = new Set<FastifyReply>();
  #faults: BoxFaults = { ...NO_BOX_FAULTS };

  constructor(target: () => string, rule: Break | undefined) {
    this.#target = target;
    this.#rule = rule;
    this.#app = Fastify({
      bodyLimit: BODY_LIMIT_BYTES,
      forceCloseConnections: true,
    });
    this.#app.all("/*", (req, res) => this.#serve(req, res));
  }

  async listen(): Promise<void> {
    await this.#app.listen({ host: "127.0.0.1", port: 0 });
  }

  get address(): string {
    const { port } = this.#app.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  setFaults(faults: Partial<BoxFaults>): void {
    Object.assign(this.#faults, faults);
    if (this.#faults.cut) this.cutStreams();
  }

  heal(): void {
    this.#faults = { ...NO_BOX_FAULTS };
  }

  /** Cuts every open stream. */
  cutStreams(): void {
    for (const res of this.#streams) res.raw.destroy();
  }

  async close(): Promise<void> {
    this.cutStreams();
    await this.#app.close();
    await this.#agent.destroy();
  }

  #use(fault: "loseRequests" | "loseReplies" | "duplicate"): boolean {
    if (this.#faults[fault] <= 0) return false;
    this.#faults[fault] -= 1;
    return true;
  }

  async #serve(req: FastifyRequest, res: FastifyReply): Promise<unknown> {
    const kind = kindOf(req.url);
    if (this.#faults.cut || this.#use("loseRequests")) return drop(res);
    const forged = forgeReply(this.#rule, kind, req.body);
    if (forged) return forged.body;
    await this.#hold(kind);
    if (this.#use("duplicate")) void this.#repeat(req);
    try {
      const reply = await this.#forward(req, kind, res);
      return await this.#answer(req, res, kind, reply);
    } catch {
      return drop(res);
    }
  }

  /** Delivers a dispatch late, even when its sender has given up. */
  async #hold(kind: MessageKind): Promise<void> {
    const isDispatch = kind === MessageKind.Call || kind === MessageKind.Stream;
    const ms = this.#faults.holdDispatchMs;
    if (!isDispatch || ms === 0) return;
    this.#faults.holdDispatchMs = 0;
    await sleep(ms);
  }

  async #repeat(req: FastifyRequest): Promise<void> {
    try {
      const reply = await this.#send(req);
      await reply.body.dump();
    } catch {
      // The copy is lost with its connection, as any message may be.
    }
  }

  #forward(
    req: FastifyRequest,
    kind: MessageKind,
    res: FastifyReply,
  ): Promise<Dispatcher.ResponseData> {
    if (kind !== MessageKind.Stream) return this.#send(req);
    const controller = new AbortController();
    res.raw.once("close", () => controller.abort());
    return this.#send(req, controller.signal);
  }

  #send(
    req: FastifyRequest,
    signal?: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const headers = {
      "content-type": "application/json",
      [SYSTEM_SECRET_HEADER]: String(req.headers[SYSTEM_SECRET_HEADER] ?? ""),
    };
    return request(this.#target() + req.url, {
      method: req.method as Dispatcher.HttpMethod,
      headers,
      body: req.method === "GET" ? undefined : JSON.stringify(req.body),
      dispatcher: this.#agent,
      signal,
    });
  }

  async #answer(
    req: FastifyRequest,
    res: FastifyReply,
    kind: MessageKind,
    reply: Dispatcher.ResponseData,
  ): Promise<unknown> {
    if (kind === MessageKind.Stream) return this.#relay(res, reply);
    const body = await reply.body.json();
    if (this.#faults.cut || this.#use("loseReplies")) return drop(res);
    res.code(reply.statusCode);
    if (kind !== MessageKind.Call && kind !== MessageKind.Attach) return body;
    const sent = req.body as { incarnation: string };
    return breakPlainReply(this.#rule, sent, body as PlainCallReply);
  }

  /** Relays frames line by line. */
  async #relay(
    res: FastifyReply,
    reply: Dispatcher.ResponseData,
  ): Promise<void> {
    const repeater = new FrameRepeater(this.#rule);
    res.hijack();
    res.raw.writeHead(reply.statusCode, {
      "content-type": "application/x-ndjson",
    });
    this.#streams.add(res);
    try {
      for await (const line of splitStream(reply.body, "\n")) {
        if (res.raw.destroyed) break;
        res.raw.write(this.#frames(line, repeater));
      }
      res.raw.end();
    } catch {
      res.raw.destroy();
    } finally {
      this.#streams.delete(res);
    }
  }

  #frames(line: string, repeater: FrameRepeater): string {
    const frame = decodeFrame(line);
    if (!frame || !this.#faults.repeatFrames) return `${line}\n`;
    return repeater.repeat(frame).map(encodeFrame).join("");
  }
}

/** Cuts the connection without an answer. */
function drop(res: FastifyReply): void {
  res.hijack();
  res.raw.destroy();
}

/** Starts a box before the sidecar at `target()`. */
export async function createMessageBox(
  target: () => string,
  rule: Break | undefined,
): Promise<MessageBox> {
  const box = new MessageBox(target, rule);
  await box.listen();
  return box;
}
