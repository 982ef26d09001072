/**
 * Infrequent control calls to sidecars: drain, order, status. Each call opens a
 * new connection, so that none can hang on a dead pooled connection.
 */
import {
  type BackendServer,
  type DrainReply,
  type OrderReply,
  type OrderRequest,
  SIDECAR_RPC_PATH,
  type SidecarRouter,
  type SidecarStatus,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import {
  createLogger,
  deadlineSignal,
  errorMessage,
  type Secret,
} from "@sassafrascleat/runtime";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { Agent, fetch, type RequestInit } from "undici";
import { CONTROL_CALL_TIMEOUT_MS } from "./constants.ts";

const log = createLogger("control");

/** Control calls; the reply is undefined if the call fails or times out. */
export interface SidecarControlClient {
  drain(
    server: BackendServer,
    leaving: boolean,
  ): Promise<DrainReply | undefined>;
  order(
    server: BackendServer,
    req: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderReply | undefined>;
  status(server: BackendServer): Promise<SidecarStatus | undefined>;
}

/** Creates the client; `secret` authenticates it to sidecars. */
export function createSidecarControlClient(
  secret: Secret,
): SidecarControlClient {
  return new TrpcSidecarControl(secret);
}

type Rpc = TRPCClient<SidecarRouter>;

class TrpcSidecarControl implements SidecarControlClient {
  readonly #secret: Secret;

  constructor(secret: Secret) {
    this.#secret = secret;
  }

  drain(
    server: BackendServer,
    leaving: boolean,
  ): Promise<DrainReply | undefined> {
    return this.#call(
      server,
      (rpc, signal) => rpc.drain.mutate({ leaving }, { signal }),
    );
  }

  order(
    server: BackendServer,
    req: OrderRequest,
    signal: AbortSignal,
  ): Promise<OrderReply | undefined> {
    return this.#call(
      server,
      (rpc, s) => rpc.order.mutate(req, { signal: s }),
      signal,
    );
  }

  status(server: BackendServer): Promise<SidecarStatus | undefined> {
    return this.#call(
      server,
      (rpc, signal) => rpc.status.query(undefined, { signal }),
    );
  }

  async #call<T>(
    server: BackendServer,
    send: (rpc: Rpc, signal: AbortSignal) => Promise<T>,
    parentSignal?: AbortSignal,
  ): Promise<T | undefined> {
    const agent = new Agent({ connections: 1 });
    const signal = deadlineSignal(CONTROL_CALL_TIMEOUT_MS, parentSignal);
    try {
      return await send(this.#createRpcClient(server, agent), signal);
    } catch (err) {
      log("call_failed", { backend: server.name, error: errorMessage(err) });
      return undefined;
    } finally {
      void agent.destroy();
    }
  }

  #createRpcClient(server: BackendServer, dispatcher: Agent): Rpc {
    return createTRPCClient<SidecarRouter>({
      links: [httpLink({
        url: server.sidecarAddress + SIDECAR_RPC_PATH,
        headers: { [SYSTEM_SECRET_HEADER]: this.#secret.reveal() },
        fetch: (url, init) =>
          fetch(
            url as string,
            { ...init, dispatcher } as RequestInit,
          ) as unknown as Promise<Response>,
      })],
    });
  }
}
