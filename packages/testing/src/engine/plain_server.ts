/** A simulated plain HTTP service that counts every execution. */
import { CALL_ID_HEADER } from "@sassafrascleat/engine";
import { sleep } from "@sassafrascleat/runtime";
import createFastify, { type FastifyRequest } from "fastify";
import { incrementBy } from "./engine_stats.ts";

/** The point at which a call fails. */
export enum PlainFault {
  None = "none",
  /** The connection is reset and nothing is executed. */
  BeforeExecuting = "before_executing",
  /** The call is executed, then the connection is reset without a response. */
  AfterExecuting = "after_executing",
}

/** Options of `createPlainServer`. */
export interface PlainServerOptions {
  /** @default 0 */
  port?: number;
  /**
   * Duration of a call, in milliseconds.
   * @default 0
   */
  delayMs?: number;
}

/** What the plain service has executed. */
export interface PlainServerStats {
  /** Executions by call id. */
  executionsById: Record<string, number>;
  /** Executions by request body. */
  executionsByBody: Record<string, number>;
  total: number;
}

/** A running plain service. */
export interface PlainServer {
  readonly address: string;
  readonly port: number;
  stats(): PlainServerStats;
  setFault(fault: PlainFault): void;
  setDelay(delayMs: number): void;
  close(): Promise<void>;
}

interface PlainServerState {
  stats: PlainServerStats;
  fault: PlainFault;
  delayMs: number;
}

/**
 * Starts a plain service. It responds with `{ "echo": BODY, "count": N }`, N
 * being the number of executions for the call id.
 */
export async function createPlainServer(
  raw: PlainServerOptions = {},
): Promise<PlainServer> {
  const state: PlainServerState = {
    stats: { executionsById: {}, executionsByBody: {}, total: 0 },
    fault: PlainFault.None,
    delayMs: raw.delayMs ?? 0,
  };
  const app = createFastify({ forceCloseConnections: true });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser("*", { parseAs: "string" }, (_req, body, done) => {
    done(null, body);
  });
  app.get("/_books", () => state.stats);
  app.all("/*", async (req, reply) => {
    const answer = await execute(state, req);
    if (answer) return answer;
    reply.hijack();
    req.raw.socket.destroy();
  });
  await app.listen({ host: "127.0.0.1", port: raw.port ?? 0 });
  const { port } = app.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${port}`,
    port,
    stats: () => state.stats,
    setFault: (fault) => state.fault = fault,
    setDelay: (delayMs) => state.delayMs = delayMs,
    close: () => app.close(),
  };
}

/** Executes one call; returns undefined if its connection must be reset. */
async function execute(state: PlainServerState, req: FastifyRequest) {
  if (state.fault === PlainFault.BeforeExecuting) return undefined;
  const id = String(req.headers[CALL_ID_HEADER] ?? "");
  const echo = typeof req.body === "string" ? req.body : "";
  incrementBy(state.stats.executionsById, id, 1);
  incrementBy(state.stats.executionsByBody, echo, 1);
  state.stats.total++;
  const count = state.stats.executionsById[id];
  await sleep(state.delayMs);
  if (state.fault === PlainFault.AfterExecuting) return undefined;
  return { echo, count };
}
