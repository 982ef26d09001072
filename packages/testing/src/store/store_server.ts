/**
 * A simulation of the platform's HTTP API on loopback: the object API on top of
 * an in-memory store, and the list of hosts, with fault injection and call
 * counts. Faults and hosts are set in process or through `POST /_faults` and
 * `POST /_hosts`.
 */
import type { BackendServer } from "@sassafrascleat/protocol";
import { childAbortController, sleep } from "@sassafrascleat/runtime";
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
import {
  FaultAction,
  FaultInjector,
  type StoreFaults,
} from "./store_faults.ts";

/** Maximum request body size in bytes; the store's value limit is lower. */
const BODY_LIMIT_BYTES = 4_000_000;

/** Options of `createStoreServer`. */
export interface StoreServerOptions {
  /** Port on 127.0.0.1; 0 selects a free port. @default 0 */
  port?: number;
  /** The store to serve. @default a new in-memory store */
  store?: MemoryStore;
}

/** A running simulated store. */
export interface StoreServer {
  /** Base URL, `http://127.0.0.1:port`. */
  readonly url: string;
  readonly port: number;
  /** The store behind the API; calls on it bypass faults and counts. */
  readonly store: MemoryStore;
  /** Sets the given faults; the others are unchanged. */
  setFaults(faults: Partial<StoreFaults>): void;
  counts(): StoreCounts;
  /** Sets the list of hosts; readers see it after `lagMs`. */
  setHosts(hosts: readonly BackendServer[], lagMs?: number): void;
  /** Stops listening and closes every connection. */
  close(): Promise<void>;
}

/** Query parameters of the object API, as unparsed strings. */
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

/** Serves one call; `signal` aborts on client disconnect or shutdown. */
type Handler = (
  req: ObjectRequest,
  res: FastifyReply,
  signal: AbortSignal,
) => Promise<unknown>;

/** Sets the status of a write's response and returns its body. */
function toWriteResponse(res: FastifyReply, result: PutResult): unknown {
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

class SimulatedStoreServer implements StoreServer {
  readonly store: MemoryStore;
  readonly #server: FastifyInstance;
  readonly #faultInjector = new FaultInjector();
  readonly #callCounter = new CallCounter();
  readonly #hostList = new HostList();
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
    this.#faultInjector.set(faults);
  }

  counts(): StoreCounts {
    return this.#callCounter.counts();
  }

  setHosts(hosts: readonly BackendServer[], lagMs?: number): void {
    this.#hostList.set(hosts, lagMs);
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
      return toWriteResponse(
        res,
        await store.put(key, req.body, Number(version)),
      );
    });
    this.#route("DELETE", "/object", StoreCall.Delete, async (req, res) => {
      const { key, version } = req.query;
      return toWriteResponse(res, await store.delete(key, Number(version)));
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
      hosts: this.#hostList.read(),
    }));
  }

  #addControlRoutes(): void {
    this.#server.post<{ Body: Partial<StoreFaults> }>("/_faults", (req) => {
      this.setFaults(req.body);
      return Promise.resolve(this.#faultInjector.current);
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

  /** Counts and serves one call, applying the active faults. */
  async #serve(
    call: StoreCall,
    req: ObjectRequest,
    res: FastifyReply,
    handler: Handler,
  ): Promise<unknown> {
    this.#callCounter.add(call);
    const action = this.#faultInjector.nextAction(isWrite(call));
    const { delayMs, answerDelayMs } = this.#faultInjector.current;
    if (action === FaultAction.Refuse) {
      res.code(503);
      return { refused: true, message: "the store is unavailable" };
    }
    if (action === FaultAction.Reset) return closeConnection(req, res);
    if (action === FaultAction.Hang) return res.hijack();
    const controller = childAbortController(this.#closing.signal);
    res.raw.once("close", () => controller.abort());
    if (delayMs > 0) await sleep(delayMs, controller.signal);
    const body = await handler(req, res, controller.signal);
    if (answerDelayMs > 0) await sleep(answerDelayMs, controller.signal);
    if (action === FaultAction.ResetAfterEffect) {
      return closeConnection(req, res);
    }
    if (action === FaultAction.HangAfterEffect) return res.hijack();
    return body;
  }
}

/** Closes the client's connection without a response. */
function closeConnection(req: ObjectRequest, res: FastifyReply): FastifyReply {
  res.hijack();
  req.raw.socket.destroy();
  return res;
}

/** Starts a simulated store on loopback. */
export async function createStoreServer(
  options: StoreServerOptions = {},
): Promise<StoreServer> {
  const server = new SimulatedStoreServer(options.store ?? createMemoryStore());
  await server.listen(options.port ?? 0);
  return server;
}
