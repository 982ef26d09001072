/** A stand-in plain service that counts every execution. */
import { CALL_ID_HEADER } from "@sassafrascleat/engine";
import { sleep } from "@sassafrascleat/runtime";
import createFastify, { type FastifyRequest } from "fastify";
import { addTo } from "./books.ts";

/** Where a call fails. */
export enum PlainFault {
  None = "none",
  /** The connection is reset and nothing is executed. */
  BeforeExecuting = "before_executing",
  /** The call is executed and its answer is lost. */
  AfterExecuting = "after_executing",
}

/** Options of `createPlainServer`. */
export interface PlainServerOptions {
  /** @default 0 */
  port?: number;
  /**
   * Time that a call takes, in milliseconds.
   * @default 0
   */
  delayMs?: number;
}

/** What the plain service did. */
export interface PlainBooks {
  /** Executions by call id. */
  executionsById: Record<string, number>;
  /** Executions by body. */
  executionsByBody: Record<string, number>;
  total: number;
}

/** A running plain service. */
export interface PlainServer {
  readonly address: string;
  readonly port: number;
  books(): PlainBooks;
  setFault(fault: PlainFault): void;
  setDelay(delayMs: number): void;
  close(): Promise<void>;
}

interface PlainState {
  books: PlainBooks;
  fault: PlainFault;
  delayMs: number;
}

/** Starts a plain service; it answers `{ "echo": BODY, "count": N }`. */
export async function createPlainServer(
  raw: PlainServerOptions = {},
): Promise<PlainServer> {
  const state: PlainState = {
    books: { executionsById: {}, executionsByBody: {}, total: 0 },
    fault: PlainFault.None,
    delayMs: raw.delayMs ?? 0,
  };
  const app = createFastify({ forceCloseConnections: true });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser("*", { parseAs: "string" }, (_req, body, done) => {
    done(null, body);
  });
  app.get("/_books", () => state.books);
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
    books: () => state.books,
    setFault: (fault) => state.fault = fault,
    setDelay: (delayMs) => state.delayMs = delayMs,
    close: () => app.close(),
  };
}

/** Runs one call; undefined when its connection is to be reset. */
async function execute(state: PlainState, req: FastifyRequest) {
  if (state.fault === PlainFault.BeforeExecuting) return undefined;
  const id = String(req.headers[CALL_ID_HEADER] ?? "");
  const echo = typeof req.body === "string" ? req.body : "";
  addTo(state.books.executionsById, id, 1);
  addTo(state.books.executionsByBody, echo, 1);
  state.books.total++;
  const count = state.books.executionsById[id];
  await sleep(state.delayMs);
  if (state.fault === PlainFault.AfterExecuting) return undefined;
  return { echo, count };
}
