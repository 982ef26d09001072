/** Token frames from an async generator procedure of tRPC. */
import { createTRPCClient, httpBatchStreamLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { fastifyTRPCPlugin } from "@trpc/server/adapters/fastify";
import createFastify from "fastify";
import { Agent, fetch as undiciFetch } from "undici";
import { tokenFrames } from "./frames.ts";
import type { Ticker } from "./ticker.ts";
import type { Transport } from "./transport.ts";

const t = initTRPC.create();

interface StreamInput {
  id: string;
  count: number;
}

function createRouter(ticker: Ticker) {
  return t.router({
    tokens: t.procedure
      .input((raw: unknown) => raw as StreamInput)
      .mutation(({ input }) => tokenFrames(ticker, input.id, input.count)),
  });
}

type Router = ReturnType<typeof createRouter>;

/** Starts a tRPC server and its client over the same HTTP client library. */
export async function createTrpcTransport(ticker: Ticker): Promise<Transport> {
  const app = createFastify({ forceCloseConnections: true });
  await app.register(fastifyTRPCPlugin, {
    prefix: "/rpc",
    trpcOptions: { router: createRouter(ticker) },
  });
  const address = await app.listen({ host: "127.0.0.1", port: 0 });
  const agent = new Agent();
  const fetchWithAgent =
    ((url: string, init: object) =>
      undiciFetch(url, { ...init, dispatcher: agent })) as never;
  const link = httpBatchStreamLink<Router>({
    url: `${address}/rpc`,
    fetch: fetchWithAgent,
    maxItems: 1,
  });
  const client = createTRPCClient<Router>({ links: [link] });
  return {
    read: (id, count) => read(client, id, count),
    close: async () => {
      await agent.destroy();
      await app.close();
    },
  };
}

async function read(
  client: ReturnType<typeof createTRPCClient<Router>>,
  id: string,
  count: number,
): Promise<number> {
  let tokens = 0;
  for await (const frame of await client.tokens.mutate({ id, count })) {
    if ("tokens" in frame) tokens += frame.tokens.length;
  }
  return tokens;
}
