/**
 * System listener for control calls, token streams, plain calls and metrics.
 */
import {
  createSidecarRouter,
  encodeFrame,
  type Frame,
  PLAIN_ATTACH_PATH,
  PLAIN_CALL_PATH,
  plainAttachRequestSchema,
  plainCallRequestSchema,
  resumeRequestSchema,
  SIDECAR_RPC_PATH,
  type SidecarControl,
  type SidecarRouter,
  startRequestSchema,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { matchSecret, type Secret } from "@sassafrascleat/runtime";
import {
  fastifyTRPCPlugin,
  type FastifyTRPCPluginOptions,
} from "@trpc/server/adapters/fastify";
import createFastify, {
  type FastifyInstance,
  type FastifyReply,
} from "fastify";
import type { SidecarState } from "./sidecar_state.ts";
import { MAX_BODY_BYTES } from "./constants.ts";
import type { PlainCalls } from "./plain_calls.ts";
import type { TokenStreams } from "./token_streams.ts";

const MAX_BATCH_PATH_CHARS = 5_000;

/** Components that the listener serves. */
export interface ListenerOptions {
  state: SidecarState;
  control: SidecarControl;
  streams: TokenStreams;
  plain: PlainCalls | undefined;
}

/** Creates the listener; the caller calls `listen`. */
export function createListener(parts: ListenerOptions): FastifyInstance {
  const app = createFastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
    routerOptions: { maxParamLength: MAX_BATCH_PATH_CHARS },
  });
  requireSecret(app, parts.state.cfg.secrets);
  serveControl(app, parts.control);
  if (parts.state.engineParts) serveStreams(app, parts.streams);
  if (parts.plain) servePlain(app, parts.state, parts.plain);
  serveHealth(app, parts.state);
  return app;
}

function requireSecret(app: FastifyInstance, secrets: readonly Secret[]): void {
  app.addHook("onRequest", async (req, reply) => {
    if (req.url === "/health" || req.url === "/metrics") return;
    const presented = req.headers[SYSTEM_SECRET_HEADER];
    const text = typeof presented === "string" ? presented : undefined;
    if (matchSecret(text, secrets)) return;
    await reply.code(401).send({
      error: `present a system secret in the header ${SYSTEM_SECRET_HEADER}`,
    });
  });
}

function serveControl(app: FastifyInstance, control: SidecarControl): void {
  app.register(
    fastifyTRPCPlugin,
    {
      prefix: SIDECAR_RPC_PATH,
      trpcOptions: { router: createSidecarRouter(control) },
    } satisfies FastifyTRPCPluginOptions<SidecarRouter>,
  );
}

function serveStreams(app: FastifyInstance, streams: TokenStreams): void {
  app.post(STREAM_START_PATH, async (req, reply) => {
    const parsed = startRequestSchema.safeParse(req.body);
    if (!parsed.success) {
      return await sendInvalidRequest(reply, parsed.error.message);
    }
    await writeFrames(reply, (signal) => streams.start(parsed.data, signal));
  });
  app.post(STREAM_RESUME_PATH, async (req, reply) => {
    const parsed = resumeRequestSchema.safeParse(req.body);
    if (!parsed.success) {
      return await sendInvalidRequest(reply, parsed.error.message);
    }
    await writeFrames(reply, (signal) => streams.resume(parsed.data, signal));
  });
}

function servePlain(
  app: FastifyInstance,
  state: SidecarState,
  plain: PlainCalls,
): void {
  app.post(PLAIN_CALL_PATH, async (req, reply) => {
    const parsed = plainCallRequestSchema.safeParse(req.body);
    if (!parsed.success) {
      return await sendInvalidRequest(reply, parsed.error.message);
    }
    const answer = await plain.call(parsed.data);
    state.metrics.plainCalls.inc({ state: answer.state });
    return answer;
  });
  app.post(PLAIN_ATTACH_PATH, async (req, reply) => {
    const parsed = plainAttachRequestSchema.safeParse(req.body);
    if (!parsed.success) {
      return await sendInvalidRequest(reply, parsed.error.message);
    }
    return await plain.attach(parsed.data);
  });
}

function serveHealth(app: FastifyInstance, state: SidecarState): void {
  app.get("/health", async (_req, reply) => {
    const { incarnation, leaving, ready } = state;
    const ok = ready && !leaving;
    return await reply.code(ok ? 200 : 503).send({
      incarnation,
      leaving,
      ready,
    });
  });
  app.get("/metrics", async (_req, reply) => {
    const { registry } = state.metrics;
    reply.header("content-type", registry.contentType);
    return await registry.metrics();
  });
}

async function sendInvalidRequest(reply: FastifyReply, message: string) {
  return await reply.code(400).send({ error: message });
}

/**
 * Writes frames to the hijacked response, with backpressure from a slow reader.
 */
async function writeFrames(
  reply: FastifyReply,
  open: (signal: AbortSignal) => AsyncIterable<Frame>,
): Promise<void> {
  const closed = new AbortController();
  reply.hijack();
  const res = reply.raw;
  res.on("close", () => closed.abort());
  res.on("error", () => closed.abort());
  res.writeHead(200, { "content-type": "application/x-ndjson" });
  res.flushHeaders();
  for await (const frame of open(closed.signal)) {
    if (closed.signal.aborted) return;
    const flowing = res.write(encodeFrame(frame));
    if (!flowing) await waitForDrain(res, closed.signal);
  }
  res.end();
}

function waitForDrain(
  res: FastifyReply["raw"],
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    const done = () => {
      res.off("drain", done);
      signal.removeEventListener("abort", done);
      resolve();
    };
    res.on("drain", done);
    signal.addEventListener("abort", done, { once: true });
  });
}
