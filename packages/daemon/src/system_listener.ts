/**
 * The listener of an entry for other daemons, which serves the configuration
 * relay. Every call needs a system secret.
 */
import {
  createRelayRouter,
  RELAY_RPC_PATH,
  type RelayControl,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { baseUrlOf, matchSecret, type Secret } from "@sassafrascleat/runtime";
import { fastifyTRPCPlugin } from "@trpc/server/adapters/fastify";
import Fastify, { type FastifyInstance } from "fastify";

/** Address to bind and accepted secrets. */
export interface SystemListenerOptions {
  host: string;
  port: number;
  secrets: readonly Secret[];
}

/** A listener that is bound before the relay that it serves is created. */
export interface SystemListener {
  readonly address: string;
  /** Sets the relay; earlier calls fail. */
  serve(control: RelayControl): void;
  close(): Promise<void>;
}

class DeferredRelay implements RelayControl {
  target: RelayControl | undefined;

  pull(
    req: Parameters<RelayControl["pull"]>[0],
  ): ReturnType<RelayControl["pull"]> {
    if (!this.target) return Promise.reject(new Error("the relay is starting"));
    return this.target.pull(req);
  }
}

function requireSecret(
  app: FastifyInstance,
  secrets: readonly Secret[],
): void {
  app.addHook("onRequest", async (req, res) => {
    const header = req.headers[SYSTEM_SECRET_HEADER];
    const presented = Array.isArray(header) ? header[0] : header;
    if (matchSecret(presented, secrets)) return;
    await res.code(401).send({ error: "a system secret is required" });
  });
}

/** Opens the listener; throws if the address can't be bound. */
export async function createSystemListener(
  options: SystemListenerOptions,
): Promise<SystemListener> {
  const relay = new DeferredRelay();
  const app = Fastify({ logger: false, forceCloseConnections: true });
  requireSecret(app, options.secrets);
  await app.register(fastifyTRPCPlugin, {
    prefix: RELAY_RPC_PATH,
    trpcOptions: { router: createRelayRouter(relay) },
  });
  await app.listen({ host: options.host, port: options.port });
  return {
    address: baseUrlOf(app.server),
    serve: (control) => {
      relay.target = control;
    },
    close: () => app.close(),
  };
}
