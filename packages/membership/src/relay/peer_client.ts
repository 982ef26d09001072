/**
 * Pulls from other daemons over tRPC. After a pull that fails or is not
 * answered in time, its connection is closed, even if it appears healthy, and
 * the next pull opens a new one.
 */
import {
  type PullReply,
  type PullRequest,
  RELAY_RPC_PATH,
  type RelayRouter,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import {
  childAbortController,
  createLogger,
  errorMessage,
  type Secret,
} from "@sassafrascleat/runtime";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, request } from "undici";
import type { RelayPeer } from "./peer.ts";

/** Sends pulls to peers. */
export interface PeerClient {
  /** The peer's reply; undefined if none arrived within `timeoutMs`. */
  pull(
    peer: RelayPeer,
    req: PullRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PullReply | undefined>;
  /** Closes every connection. */
  close(): Promise<void>;
}

/** Creates a client that authenticates to its peers with `secret`. */
export function createPeerClient(secret: Secret): PeerClient {
  return new TrpcPeerClient(secret);
}

const log = createLogger("relay");

/** Maximum number of connections kept open, least recently used closed first. */
const MAX_OPEN_CONNECTIONS = 4;

/** The options that the tRPC link passes to a fetch function. */
interface PostInit {
  headers?: unknown;
  body?: unknown;
  signal?: AbortSignal | null;
}

/** Sends a POST request with few headers, because every daemon pulls continuously. */
async function post(agent: Agent, url: string, init: PostInit = {}) {
  const { body, statusCode } = await request(url, {
    method: "POST",
    dispatcher: agent,
    headers: init.headers as Record<string, string>,
    body: init.body as string,
    signal: init.signal ?? undefined,
  });
  const ok = statusCode >= 200 && statusCode < 300;
  return { ok, status: statusCode, json: () => body.json() };
}

class PeerConnection {
  readonly agent: Agent;
  readonly client: ReturnType<typeof createTRPCClient<RelayRouter>>;

  constructor(address: string, secret: Secret) {
    const agent = new Agent({ connections: 1, pipelining: 1 });
    this.agent = agent;
    this.client = createTRPCClient<RelayRouter>({
      links: [httpLink({
        url: `${address}${RELAY_RPC_PATH}`,
        headers: { [SYSTEM_SECRET_HEADER]: secret.reveal() },
        fetch: (url, init) => post(agent, String(url), init),
      })],
    });
  }
}

class TrpcPeerClient implements PeerClient {
  readonly #secret: Secret;
  readonly #connections = new Map<string, PeerConnection>();

  constructor(secret: Secret) {
    this.#secret = secret;
  }

  async pull(
    peer: RelayPeer,
    req: PullRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<PullReply | undefined> {
    const connection = this.#connect(peer.address);
    const timeoutController = childAbortController(signal);
    const timer = setTimeout(() => timeoutController.abort(), timeoutMs);
    try {
      return await connection.client.pull.mutate(req, {
        signal: timeoutController.signal,
      }) as PullReply;
    } catch (err) {
      this.#drop(peer.address, connection);
      if (!signal.aborted) {
        log("pull_lost", { peer: peer.daemonId, error: errorMessage(err) });
      }
      return undefined;
    } finally {
      clearTimeout(timer);
      timeoutController.abort();
    }
  }

  async close(): Promise<void> {
    const connections = [...this.#connections.values()];
    this.#connections.clear();
    await Promise.all(
      connections.map((connection) => connection.agent.destroy()),
    );
  }

  /**
   * Returns the peer's connection, marked as most recently used; closes the
   * oldest if there are too many.
   */
  #connect(address: string): PeerConnection {
    const known = this.#connections.get(address);
    const connection = known ?? new PeerConnection(address, this.#secret);
    this.#connections.delete(address);
    this.#connections.set(address, connection);
    if (this.#connections.size > MAX_OPEN_CONNECTIONS) this.#closeOldest();
    return connection;
  }

  #closeOldest(): void {
    const oldest = this.#connections.entries().next().value;
    if (!oldest) return;
    this.#connections.delete(oldest[0]);
    oldest[1].agent.close().catch(() => {});
  }

  #drop(address: string, connection: PeerConnection): void {
    if (this.#connections.get(address) === connection) {
      this.#connections.delete(address);
    }
    connection.agent.destroy().catch(() => {});
  }
}
