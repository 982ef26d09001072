/** The stand-in engine's HTTP form on 127.0.0.1. */
import {
  type EngineDecodeRequest,
  EnginePath,
  type EnginePrefillRequest,
  EngineStatus,
  WireKind,
} from "@sassafrascleat/engine";
import { BackendRole, type OrderRequest } from "@sassafrascleat/protocol";
import { childController } from "@sassafrascleat/runtime";
import createFastify, {
  type FastifyInstance,
  type FastifyReply,
} from "fastify";
import type { EngineBooksNow } from "./books.ts";
import { KvPath } from "./constants.ts";
import type { DecodeJob } from "./decode_batch.ts";
import { EngineCore, type EngineFaults } from "./engine_core.ts";
import { LineStream } from "./line_stream.ts";
import {
  type EngineServerOptions,
  resolveEngineServerOptions,
} from "./options.ts";

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** A running stand-in engine. */
export interface EngineServer {
  /** `http://127.0.0.1:port`. */
  readonly address: string;
  readonly port: number;
  books(): EngineBooksNow;
  setFaults(faults: Partial<EngineFaults>): void;
  close(): Promise<void>;
}

/** Starts a stand-in engine. */
export async function createEngineServer(
  raw: EngineServerOptions,
): Promise<EngineServer> {
  const core = new EngineCore(resolveEngineServerOptions(raw));
  const app = createFastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });
  refuseWhenDead(app, core);
  serveWork(app, core);
  serveReports(app, core);
  serveKv(app, core);
  serveTests(app, core);
  await app.listen({ host: "127.0.0.1", port: core.cfg.port });
  const { port } = app.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${port}`,
    port,
    books: () => core.booksNow(),
    setFaults: (faults) => applyFaults(app, core, faults),
    close: async () => {
      await core.close();
      await app.close();
    },
  };
}

function applyFaults(
  app: FastifyInstance,
  core: EngineCore,
  faults: Partial<EngineFaults>,
): void {
  core.setFaults(faults);
  if (core.faults.dead) app.server.closeAllConnections();
}

/** A dead engine resets every connection; only its fault switch answers. */
function refuseWhenDead(app: FastifyInstance, core: EngineCore): void {
  app.addHook("onRequest", async (req, reply) => {
    if (!core.faults.dead || req.url.startsWith("/_")) return;
    reply.hijack();
    req.raw.socket.destroy();
  });
}

function serveWork(app: FastifyInstance, core: EngineCore): void {
  app.post<{ Body: EnginePrefillRequest }>(
    EnginePath.Prefill,
    async (req, reply) => await prefill(core, req.body, reply),
  );
  app.post<{ Body: EngineDecodeRequest }>(
    EnginePath.Decode,
    async (req, reply) => await decode(core, req.body, reply),
  );
  app.post<{ Body: { id: string; offset: number } }>(
    EnginePath.Resume,
    (req, reply) => {
      const stream = new LineStream(reply);
      const job = core.batch.find(req.body.id);
      if (job) follow(stream, job, req.body.offset);
      else fail(stream, EngineStatus.Refused, "the request is not held");
    },
  );
  app.post<{ Body: { id: string } }>(EnginePath.Cancel, (req) => {
    core.cancel(req.body.id);
    return { cancelled: true };
  });
}

async function prefill(
  core: EngineCore,
  req: EnginePrefillRequest,
  reply: FastifyReply,
): Promise<void> {
  const stream = new LineStream(reply);
  if (core.faults.refuse || core.role !== BackendRole.Prefill) {
    return fail(stream, EngineStatus.Refused, "no prefill is taken");
  }
  const result = await core.prefills.run(req);
  stream.end({ kind: WireKind.Prefilled, result });
}

async function decode(
  core: EngineCore,
  req: EngineDecodeRequest,
  reply: FastifyReply,
): Promise<void> {
  const stream = new LineStream(reply);
  const outcome = await core.decode(req);
  if (typeof outcome === "string") fail(stream, outcome, "decode not begun");
  else follow(stream, outcome, 0);
}

function follow(stream: LineStream, job: DecodeJob, offset: number): void {
  stream.send({ kind: WireKind.Started });
  job.attach(offset, (event) => {
    const line = { kind: WireKind.Event as const, event };
    if (job.end === event) stream.end(line);
    else stream.send(line);
  });
}

function fail(
  stream: LineStream,
  status: Exclude<EngineStatus, EngineStatus.Ok>,
  message: string,
): void {
  stream.end({ kind: WireKind.Failed, failure: { status, message } });
}

function serveReports(app: FastifyInstance, core: EngineCore): void {
  app.get(EnginePath.Held, () => ({ ids: core.heldIds() }));
  app.get(EnginePath.Load, () => core.load());
  app.get<{ Querystring: { after: string } }>(
    EnginePath.CacheEvents,
    (req) => ({ events: core.cache.events(Number(req.query.after)) }),
  );
  app.get(EnginePath.CacheSnapshot, () => core.cache.snapshot());
  app.post<{ Body: OrderRequest }>(
    EnginePath.Order,
    (req) => ({ accepted: core.order(req.body) }),
  );
}

function serveKv(app: FastifyInstance, core: EngineCore): void {
  app.post<{ Body: { handle: string } }>(KvPath.Export, async (req, reply) => {
    const { handle } = req.body;
    const tokens = core.prefills.beginExport(handle);
    if (tokens === undefined) return await reply.code(410).send({});
    const stop = childController();
    reply.raw.on("close", () => stop.abort());
    const carried = await core.outgoing.transfer(tokens, stop.signal);
    core.prefills.endExport(handle);
    return await reply.code(carried ? 200 : 500).send({});
  });
  app.post<{ Body: { handle: string } }>(KvPath.Used, (req) => {
    core.prefills.markUsed(req.body.handle);
    return {};
  });
}

function serveTests(app: FastifyInstance, core: EngineCore): void {
  app.get("/_books", () => core.booksNow());
  app.post<{ Body: Partial<EngineFaults> }>("/_faults", (req, reply) => {
    reply.raw.on("finish", () => applyFaults(app, core, req.body));
    return {};
  });
}
