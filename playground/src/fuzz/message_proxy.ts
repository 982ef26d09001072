/**
 * Proxy between one entry and one sidecar that works on whole messages. It
 * drops, duplicates and delays messages, cuts streams and repeats frames, and
 * applies the run's mutation of the product, if any.
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
import type { ActiveMutation } from "./mutations.ts";
import {
  forgeReply,
  FrameRepeater,
  MessageKind,
  messageKind,
  mutatePlainReply,
} from "./messages.ts";

/** Faults for the next messages; each message uses up one of a count. */
export interface MessageProxyFaults {
  /** Number of next requests that are dropped before delivery. */
  loseRequests: number;
  /** Number of next replies that are dropped after the request took effect. */
  loseReplies: number;
  /** Number of next requests that are delivered twice. */
  duplicate: number;
  /** Delay of the next dispatch, in milliseconds; 0 for no delay. */
  delayDispatchMs: number;
  /** Every token frame is sent twice. */
  repeatFrames: boolean;
  /** No message passes in either direction. */
  cut: boolean;
}

const NO_PROXY_FAULTS: MessageProxyFaults = {
  loseRequests: 0,
  loseReplies: 0,
  duplicate: 0,
  delayDispatchMs: 0,
  repeatFrames: false,
  cut: false,
};

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** A running message proxy. */
export class MessageProxy {
  readonly #app: FastifyInstance;
  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  readonly #mutation: ActiveMutation | undefined;
  readonly #target: () => string;
  readonly #streams = new Set<FastifyReply>();
  #faults: MessageProxyFaults = { ...NO_PROXY_FAULTS };

  constructor(target: () => string, mutation: ActiveMutation | undefined) {
    this.#target = target;
    this.#mutation = mutation;
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

  setFaults(faults: Partial<MessageProxyFaults>): void {
    Object.assign(this.#faults, faults);
    if (this.#faults.cut) this.cutStreams();
  }

  heal(): void {
    this.#faults = { ...NO_PROXY_FAULTS };
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

  #consumeFault(fault: "loseRequests" | "loseReplies" | "duplicate"): boolean {
    if (this.#faults[fault] <= 0) return false;
    this.#faults[fault] -= 1;
    return true;
  }

  async #serve(req: FastifyRequest, res: FastifyReply): Promise<unknown> {
    const kind = messageKind(req.url);
    if (this.#faults.cut || this.#consumeFault("loseRequests")) {
      return closeWithoutReply(res);
    }
    const forged = forgeReply(this.#mutation, kind, req.body);
    if (forged) return forged.body;
    await this.#delayDispatch(kind);
    if (this.#consumeFault("duplicate")) void this.#sendDuplicate(req);
    try {
      const reply = await this.#forward(req, kind, res);
      return await this.#returnReply(req, res, kind, reply);
    } catch {
      return closeWithoutReply(res);
    }
  }

  /** Delays a dispatch, which is delivered even if its sender has given up. */
  async #delayDispatch(kind: MessageKind): Promise<void> {
    const isDispatch = kind === MessageKind.Call || kind === MessageKind.Stream;
    const ms = this.#faults.delayDispatchMs;
    if (!isDispatch || ms === 0) return;
    this.#faults.delayDispatchMs = 0;
    await sleep(ms);
  }

  async #sendDuplicate(req: FastifyRequest): Promise<void> {
    try {
      const reply = await this.#send(req);
      await reply.body.dump();
    } catch {
      // A lost copy is acceptable: any message may be lost with its connection.
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

  async #returnReply(
    req: FastifyRequest,
    res: FastifyReply,
    kind: MessageKind,
    reply: Dispatcher.ResponseData,
  ): Promise<unknown> {
    if (kind === MessageKind.Stream) return this.#relay(res, reply);
    const body = await reply.body.json();
    if (this.#faults.cut || this.#consumeFault("loseReplies")) {
      return closeWithoutReply(res);
    }
    res.code(reply.statusCode);
    if (kind !== MessageKind.Call && kind !== MessageKind.Attach) return body;
    const sent = req.body as { incarnation: string };
    return mutatePlainReply(this.#mutation, sent, body as PlainCallReply);
  }

  /** Relays frames line by line. */
  async #relay(
    res: FastifyReply,
    reply: Dispatcher.ResponseData,
  ): Promise<void> {
    const repeater = new FrameRepeater(this.#mutation);
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

/** Closes the connection without a reply. */
function closeWithoutReply(res: FastifyReply): void {
  res.hijack();
  res.raw.destroy();
}

/** Starts a proxy in front of the sidecar at `target()`. */
export async function createMessageProxy(
  target: () => string,
  mutation: ActiveMutation | undefined,
): Promise<MessageProxy> {
  const proxy = new MessageProxy(target, mutation);
  await proxy.listen();
  return proxy;
}
