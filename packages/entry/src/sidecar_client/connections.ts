/**
 * The connections to one sidecar, all replaced when a call on one of them times
 * out. Control calls share a few connections; streams, prefills and plain
 * calls, which last long, use separate ones.
 */
import {
  CONTROL_TIMEOUT_MS,
  SIDECAR_RPC_PATH,
  type SidecarRouter,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import type { Secret } from "@sassafrascleat/runtime";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { type Dispatcher, Pool } from "undici";
import { CONNECTION_IDLE_MS, CONTROL_CONNECTIONS } from "../constants.ts";

/** The options that tRPC passes to `fetch` and that `post` uses. */
interface RpcInit {
  method?: string;
  headers?: unknown;
  body?: unknown;
  signal?: AbortSignal | null;
}

/** Open connections to one sidecar, and tRPC clients over them. */
export class Connections {
  /** For streams and other long-running calls. */
  readonly longLived: Pool;
  /** For control calls that are answered immediately. */
  readonly rpc: TRPCClient<SidecarRouter>;
  /** For control calls that are answered when their work is done. */
  readonly longRpc: TRPCClient<SidecarRouter>;
  /** For calls that are answered immediately. */
  readonly control: Pool;

  constructor(address: string, secret: Secret) {
    this.longLived = createPool(address, null);
    this.control = createPool(address, CONTROL_CONNECTIONS);
    this.rpc = createRpc(address, secret, this.control);
    this.longRpc = createRpc(address, secret, this.longLived);
  }

  /** Accepts no new calls; resolves when the last open call has ended. */
  async closeWhenIdle(): Promise<void> {
    await Promise.all([this.longLived.close(), this.control.close()]);
  }

  /** Aborts every open call. */
  async destroy(): Promise<void> {
    await Promise.all([this.longLived.destroy(), this.control.destroy()]);
  }
}

function createPool(address: string, connections: number | null): Pool {
  return new Pool(address, {
    connections,
    keepAliveTimeout: CONNECTION_IDLE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: CONTROL_TIMEOUT_MS },
  });
}

function createRpc(
  address: string,
  secret: Secret,
  pool: Pool,
): TRPCClient<SidecarRouter> {
  return createTRPCClient<SidecarRouter>({
    links: [httpLink({
      url: address + SIDECAR_RPC_PATH,
      headers: { [SYSTEM_SECRET_HEADER]: secret.reveal() },
      fetch: (url, init) => post(pool, String(url), init as RpcInit),
    })],
  });
}

/** The subset of `fetch` that tRPC needs, without the overhead of the rest. */
async function post(pool: Pool, url: string, init: RpcInit) {
  const { pathname, search } = new URL(url);
  const res = await pool.request({
    path: pathname + search,
    method: (init.method ?? "POST") as Dispatcher.HttpMethod,
    headers: init.headers as Record<string, string>,
    body: init.body as string,
    signal: init.signal,
  });
  return {
    ok: res.statusCode < 300,
    status: res.statusCode,
    json: () => res.body.json() as Promise<unknown>,
  } as Response;
}
