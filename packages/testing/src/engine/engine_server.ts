/** The HTTP API of the simulated engine, on 127.0.0.1. */
import {
  type EngineDecodeRequest,
  EngineLineKind,
  EnginePath,
  type EnginePrefillRequest,
  EngineStatus,
} from "@sassafrascleat/engine";
import { BackendRole, type OrderRequest } from "@sassafrascleat/protocol";
import { childAbortController } from "@sassafrascleat/runtime";
import createFastify, {
  type FastifyInstance,
  type FastifyReply,
} from "fastify";
import type { EngineStatsSnapshot } from "./engine_stats.ts";
import { KvPath } from "./constants.ts";
import type { DecodeJob } from "./decode_batch.ts";
import { EngineCore, type EngineFaults } from "./engine_core.ts";
import { LineStream } from "./line_stream.ts";
import {
  type EngineServerOptions,
  resolveEngineServerOptions,
} from "./options.ts";

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** A running simulated engine. */
export interface EngineServer {
  /** `http://127.0.0.1:port`. */
  readonly address: string;
  readonly port: number;
  stats(): EngineStatsSnapshot;
  setFaults(faults: Partial<EngineFaults>): void;
  close(): Promise<void>;
}

/** Starts a simulated engine. */
export async function createEngineServer(
  raw: EngineServerOptions,
): Promise<EngineServer> {
  const core = new EngineCore(resolveEngineServerOptions(raw));
  const app = createFastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });
  resetConnectionsWhenCrashed(app, core);
  addRequestRoutes(app, core);
  addStateRoutes(app, core);
  addKvRoutes(app, core);
  addTestRoutes(app, core);
  await app.listen({ host: "127.0.0.1", port: core.cfg.port });
  const { port } = app.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${port}`,
    port,
    stats: () => core.currentStats(),
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

/**
 * Resets every connection while the engine is marked as crashed. The test
 * routes still work, so that the fault can be cleared.
 */
function resetConnectionsWhenCrashed(
  app: FastifyInstance,
  core: EngineCore,
): void {
  app.addHook("onRequest", async (req, reply) => {
    if (!core.faults.dead || req.url.startsWith("/_")) return;
    reply.hijack();
    req.raw.socket.destroy();
  });
}

function addRequestRoutes(app: FastifyInstance, core: EngineCore): void {
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
      if (job) {
        streamEvents(stream, job, req.body.offset);
      } else {
        endWithFailure(
          stream,
          EngineStatus.Refused,
          "no running or recently ended request has this id",
        );
      }
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
    return endWithFailure(
      stream,
      EngineStatus.Refused,
      "the engine does not accept prefill requests",
    );
  }
  const result = await core.prefillQueue.run(req);
  stream.end({ kind: EngineLineKind.Prefilled, result });
}

async function decode(
  core: EngineCore,
  req: EngineDecodeRequest,
  reply: FastifyReply,
): Promise<void> {
  const stream = new LineStream(reply);
  const outcome = await core.decode(req);
  if (typeof outcome === "string") {
    endWithFailure(stream, outcome, "the decode was not started");
  } else {
    streamEvents(stream, outcome, 0);
  }
}

function streamEvents(
  stream: LineStream,
  job: DecodeJob,
  offset: number,
): void {
  stream.send({ kind: EngineLineKind.Started });
  job.attach(offset, (event) => {
    const line = { kind: EngineLineKind.Event as const, event };
    if (job.end === event) stream.end(line);
    else stream.send(line);
  });
}

function endWithFailure(
  stream: LineStream,
  status: Exclude<EngineStatus, EngineStatus.Ok>,
  message: string,
): void {
  stream.end({ kind: EngineLineKind.Failed, failure: { status, message } });
}

function addStateRoutes(app: FastifyInstance, core: EngineCore): void {
  app.get(EnginePath.Held, () => ({ ids: core.heldIds() }));
  app.get(EnginePath.Load, () => core.reportedLoad());
  app.get<{ Querystring: { after: string } }>(
    EnginePath.CacheEvents,
    (req) => ({ events: core.prefixCache.events(Number(req.query.after)) }),
  );
  app.get(EnginePath.CacheSnapshot, () => core.prefixCache.snapshot());
  app.post<{ Body: OrderRequest }>(
    EnginePath.Order,
    (req) => ({ accepted: core.order(req.body) }),
  );
}

function addKvRoutes(app: FastifyInstance, core: EngineCore): void {
  app.post<{ Body: { handle: string } }>(KvPath.Export, async (req, reply) => {
    const { handle } = req.body;
    const tokens = core.prefillQueue.beginExport(handle);
    if (tokens === undefined) return await reply.code(410).send({});
    const stop = childAbortController();
    reply.raw.on("close", () => stop.abort());
    const transferred = await core.outgoingLink.transfer(tokens, stop.signal);
    core.prefillQueue.endExport(handle);
    return await reply.code(transferred ? 200 : 500).send({});
  });
  app.post<{ Body: { handle: string } }>(KvPath.Used, (req) => {
    core.prefillQueue.markUsed(req.body.handle);
    return {};
  });
}

function addTestRoutes(app: FastifyInstance, core: EngineCore): void {
  app.get("/_books", () => core.currentStats());
  app.post<{ Body: Partial<EngineFaults> }>("/_faults", (req, reply) => {
    reply.raw.on("finish", () => applyFaults(app, core, req.body));
    return {};
  });
}
