/**
 * A small stand-in of the platform over HTTP on loopback: the object API on top
 * of the store in memory, the list of hosts, faults and call counts. Faults and
 * hosts are set in process or through `POST /_faults` and `POST /_hosts`.
 */
import type { BackendServer } from "@sassafrascleat/protocol";
import { childController, sleep } from "@sassafrascleat/runtime";
import {
  createMemoryStore,
  type MemoryStore,
  type PutResult,
  StoreStatus,
} from "@sassafrascleat/store";
import Fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import {
  CallCounter,
  isWrite,
  StoreCall,
  type StoreCounts,
} from "./call_counts.ts";
import { HostList } from "./host_list.ts";
import { FaultAction, FaultPlan, type StoreFaults } from "./store_faults.ts";

/** Largest request body that is read, in bytes; the store's own limit is lower. */
const BODY_LIMIT_BYTES = 4_000_000;

/** Options of the stand-in store. */
export interface StoreServerOptions {
  /** Port on 127.0.0.1; 0 takes a free one. @default 0 */
  port?: number;
  /** The store behind it. @default a new store in memory */
  store?: MemoryStore;
}

/** A running stand-in store. */
export interface StoreServer {
  /** Base address, `http://127.0.0.1:port`. */
  readonly url: string;
  readonly port: number;
  /** The store behind the API, without faults. */
  readonly store: MemoryStore;
  /** Sets the named faults; the others stay. */
  setFaults(faults: Partial<StoreFaults>): void;
  counts(): StoreCounts;
  /** Sets the list of hosts; readers see it after `lagMs`. */
  setHosts(hosts: readonly BackendServer[], lagMs?: number): void;
  /** Stops listening and cuts every connection. */
  close(): Promise<void>;
}

/** Query of the object API; every field comes as text. */
interface ObjectQuery {
  key: string;
  version: string;
  prefix: string;
  after: string;
  limit: string;
  afterRevision: string;
  waitMs: string;
}

type ObjectRequest = FastifyRequest<{ Querystring: ObjectQuery }>;

/** Serves one call; `signal` aborts when the caller is gone. */
type Handler = (
  req: ObjectRequest,
  res: FastifyReply,
  signal: AbortSignal,
) => Promise<unknown>;

/** The status and body of an answer to a write. */
function sendPut(res: FastifyReply, result: PutResult): unknown {
  switch (result.status) {
    case StoreStatus.Ok:
      return { version: result.version };
    case StoreStatus.Conflict:
      res.code(409);
      return { current: result.current };
    case StoreStatus.TooLarge:
      res.code(413);
      return { message: result.message };
    default:
      res.code(503);
      return { refused: true, message: result.message };
  }
}

class StandInStore implements StoreServer {
  readonly store: MemoryStore;
  readonly #server: FastifyInstance;
  readonly #faults = new FaultPlan();
  readonly #counter = new CallCounter();
  readonly #hosts = new HostList();
  readonly #closing = new AbortController();
  #port = 0;

  constructor(store: MemoryStore) {
    this.store = store;
    this.#server = Fastify({
      bodyLimit: BODY_LIMIT_BYTES,
      forceCloseConnections: true,
    });
    this.#addObjectRoutes();
    this.#addControlRoutes();
  }

  get port(): number {
    return this.#port;
  }

  get url(): string {
    return `http://127.0.0.1:${this.#port}`;
  }

  async listen(port: number): Promise<void> {
    await this.#server.listen({ host: "127.0.0.1", port });
    const address = this.#server.server.address();
    if (address && typeof address === "object") this.#port = address.port;
  }

  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults.set(faults);
  }

  counts(): StoreCounts {
    return this.#counter.read();
  }

  setHosts(hosts: readonly BackendServer[], lagMs?: number): void {
    this.#hosts.set(hosts, lagMs);
  }

  async close(): Promise<void> {
    this.#closing.abort();
    await this.#server.close();
  }

  #addObjectRoutes(): void {
    const { store } = this;
    this.#route("GET", "/object", StoreCall.Get, async (req) => {
      const result = await store.get(req.query.key);
      return result.status === StoreStatus.Ok ? { object: result.object } : {};
    });
    this.#route("PUT", "/object", StoreCall.Put, async (req, res) => {
      const { key, version } = req.query;
      return sendPut(res, await store.put(key, req.body, Number(version)));
    });
    this.#route("DELETE", "/object", StoreCall.Delete, async (req, res) => {
      const { key, version } = req.query;
      return sendPut(res, await store.delete(key, Number(version)));
    });
    this.#route("GET", "/objects", StoreCall.List, (req) => {
      const { prefix, after, limit } = req.query;
      return store.list({ prefix, after, limit: Number(limit) });
    });
    this.#route("GET", "/watch", StoreCall.Watch, (req, _res, signal) => {
      const afterRevision = Number(req.query.afterRevision);
      const waitMs = Number(req.query.waitMs);
      const { prefix } = req.query;
      return store.watch({ prefix, afterRevision, waitMs }, signal);
    });
    this.#route("GET", "/hosts", StoreCall.Hosts, async () => ({
      hosts: this.#hosts.read(),
    }));
  }

  #addControlRoutes(): void {
    this.#server.post<{ Body: Partial<StoreFaults> }>("/_faults", (req) => {
      this.setFaults(req.body);
      return Promise.resolve(this.#faults.current);
    });
    this.#server.get("/_counts", async () => this.counts());
    this.#server.post<{ Body: { hosts: BackendServer[]; lagMs?: number } }>(
      "/_hosts",
      async (req) => {
        this.setHosts(req.body.hosts, req.body.lagMs);
        return {};
      },
    );
  }

  #route(
    method: "GET" | "PUT" | "DELETE",
    url: string,
    call: StoreCall,
    handler: Handler,
  ): void {
    this.#server.route<{ Querystring: ObjectQuery }>({
      method,
      url,
      handler: (req, res) => this.#serve(call, req, res, handler),
    });
  }

  /** Serves one call under the faults in force. */
  async #serve(
    call: StoreCall,
    req: ObjectRequest,
    res: FastifyReply,
    handler: Handler,
  ): Promise<unknown> {
    this.#counter.add(call);
    const action = this.#faults.next(isWrite(call));
    const { delayMs, answerDelayMs } = this.#faults.current;
    if (action === FaultAction.Refuse) {
      res.code(503);
      return { refused: true, message: "the store is out of service" };
    }
    if (action === FaultAction.Reset) return cut(req, res);
    if (action === FaultAction.Hang) return res.hijack();
    const owner = childController(this.#closing.signal);
    res.raw.once("close", () => owner.abort());
    if (delayMs > 0) await sleep(delayMs, owner.signal);
    const body = await handler(req, res, owner.signal);
    if (answerDelayMs > 0) await sleep(answerDelayMs, owner.signal);
    if (action === FaultAction.ResetAfterEffect) return cut(req, res);
    if (action === FaultAction.HangAfterEffect) return res.hijack();
    return body;
  }
}

/** Cuts the caller's connection without an answer. */
function cut(req: ObjectRequest, res: FastifyReply): FastifyReply {
  res.hijack();
  req.raw.socket.destroy();
  return res;
}

/** Starts a stand-in store on loopback. */
export async function createStoreServer(
  options: StoreServerOptions = {},
): Promise<StoreServer> {
  const server = new StandInStore(options.store ?? createMemoryStore());
  await server.listen(options.port ?? 0);
  return server;
}
