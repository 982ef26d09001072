/** Newline-delimited JSON over a plain HTTP response, as a sidecar sends it. */
import {
  decodeFrame,
  encodeFrame,
  STREAM_START_PATH,
} from "@sassafrascleat/protocol";
import createFastify from "fastify";
import { Agent, request } from "undici";
import { tokenFrames } from "./frames.ts";
import type { Ticker } from "./ticker.ts";
import type { Transport } from "./transport.ts";

/** Starts an NDJSON server and its client. */
export async function createNdjsonTransport(
  ticker: Ticker,
): Promise<Transport> {
  const app = createFastify({ forceCloseConnections: true });
  app.post<{ Body: { id: string; count: number } }>(
    STREAM_START_PATH,
    async (req, reply) => {
      reply.hijack();
      reply.raw.writeHead(200, { "content-type": "application/x-ndjson" });
      const { id, count } = req.body;
      for await (const frame of tokenFrames(ticker, id, count)) {
        reply.raw.write(encodeFrame(frame));
      }
      reply.raw.end();
    },
  );
  const address = await app.listen({ host: "127.0.0.1", port: 0 });
  const agent = new Agent();
  return {
    read: (id, count) => read(address, agent, id, count),
    close: async () => {
      await agent.destroy();
      await app.close();
    },
  };
}

/** Reads one stream and returns the number of tokens in it. */
async function read(
  address: string,
  agent: Agent,
  id: string,
  count: number,
): Promise<number> {
  const res = await request(address + STREAM_START_PATH, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ id, count }),
    dispatcher: agent,
  });
  let tokens = 0;
  let tail = "";
  const decoder = new TextDecoder();
  for await (const chunk of res.body) {
    const lines = (tail + decoder.decode(chunk, { stream: true })).split("\n");
    tail = lines.pop() ?? "";
    for (const line of lines) {
      const frame = decodeFrame(line);
      if (frame && "tokens" in frame) tokens += frame.tokens.length;
    }
  }
  return tokens;
}
