/**
 * Stand-in sidecar that accepts every reservation and prefill, and sends one
 * token to each stream of a batch at a fixed interval, using little CPU time.
 */
import {
  CancelState,
  createSidecarRouter,
  encodeFrame,
  FinishReason,
  FrameKind,
  type LoadHint,
  type PrefillReply,
  type PrefillRequest,
  type ReserveReply,
  type ResumeRequest,
  SIDECAR_RPC_PATH,
  type SidecarControl,
  type SidecarRouter,
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
} from "@sassafrascleat/protocol";
import {
  fastifyTRPCPlugin,
  type FastifyTRPCPluginOptions,
} from "@trpc/server/adapters/fastify";
import fastify, { type FastifyReply } from "fastify";
import { BATCH_STREAMS, STREAM_TOKENS, TOKEN_MARK } from "./options.ts";

const INCARNATION = "stand-in";
const HINT: LoadHint = {
  running: 0,
  reserved: 0,
  slots: 1_000,
  freePieces: 100_000,
  totalPieces: 100_000,
  queuedTokens: 0,
  rate: 1e6,
  leaving: false,
};

/** Time between tokens of a stream; may be changed while streams are open. */
export interface TokenInterval {
  /** In milliseconds. */
  stepMs: number;
}

/** One open stream. */
interface OpenStream {
  res: FastifyReply["raw"];
  requestId: string;
  attempt: number;
  offset: number;
}

/** Streams that receive their tokens at the same times, as in an engine batch. */
class Batch {
  readonly streams = new Set<OpenStream>();
  readonly #interval: TokenInterval;
  #nextAtMs = performance.now();

  constructor(interval: TokenInterval) {
    this.#interval = interval;
    this.#schedule();
  }

  #schedule(): void {
    this.#nextAtMs += this.#interval.stepMs;
    const waitMs = Math.max(0, this.#nextAtMs - performance.now());
    setTimeout(() => {
      for (const stream of this.streams) this.#sendToken(stream);
      this.#schedule();
    }, waitMs);
  }

  /** Sends one token; skips a stream whose reader is too slow. */
  #sendToken(stream: OpenStream): void {
    const { res, requestId, attempt, offset } = stream;
    if (res.writableNeedDrain) return;
    if (offset >= STREAM_TOKENS) return this.#end(stream);
    const tokens = [`${TOKEN_MARK}word`];
    const kind = FrameKind.Tokens;
    res.write(encodeFrame({ kind, requestId, attempt, offset, tokens }));
    stream.offset += 1;
  }

  #end(stream: OpenStream): void {
    const { res, requestId, attempt, offset } = stream;
    const kind = FrameKind.End;
    const finish = FinishReason.Length;
    res.end(encodeFrame({ kind, requestId, attempt, offset, finish }));
    this.streams.delete(stream);
  }
}

class StandInControl implements SidecarControl {
  reserve(): Promise<ReserveReply> {
    return Promise.resolve({
      granted: true,
      incarnation: INCARNATION,
      readyInMs: 0,
      expiresInMs: 5_000,
      hint: HINT,
    });
  }

  prefill(req: PrefillRequest): Promise<PrefillReply> {
    const kv = {
      handle: req.requestId,
      backendServer: "stand-in",
      availabilityZone: "gastonia",
      engineAddress: "http://127.0.0.1:1",
      tokens: req.promptTokens,
      expiresInMs: 2_000,
    };
    return Promise.resolve({
      done: true,
      incarnation: INCARNATION,
      kv,
      cachedTokens: 0,
      queuedMs: 0,
      ranMs: 1,
      hint: HINT,
    });
  }

  renew() {
    const reply = { incarnation: INCARNATION, missing: [], hint: HINT };
    return Promise.resolve(reply);
  }

  cancel() {
    const state = CancelState.Running;
    return Promise.resolve({ incarnation: INCARNATION, state });
  }

  drain(): Promise<never> {
    return Promise.reject(
      new Error("the stand-in sidecar does not support draining"),
    );
  }

  order(): Promise<never> {
    return Promise.reject(
      new Error("the stand-in sidecar does not support orders"),
    );
  }

  status(): Promise<never> {
    return Promise.reject(
      new Error("the stand-in sidecar does not report a status"),
    );
  }
}

/** Starts a stand-in sidecar; resolves with its address. */
export async function startStandInSidecar(
  interval: TokenInterval,
): Promise<string> {
  const app = fastify({ routerOptions: { maxParamLength: 5_000 } });
  const batches: Batch[] = [];
  const open = (reply: FastifyReply, stream: Omit<OpenStream, "res">) => {
    reply.hijack();
    const res = reply.raw;
    res.writeHead(200, { "content-type": "application/x-ndjson" });
    res.flushHeaders();
    let batch = batches.find((it) => it.streams.size < BATCH_STREAMS);
    if (!batch) batches.push(batch = new Batch(interval));
    const opened = { ...stream, res };
    batch.streams.add(opened);
    res.on("close", () => batch.streams.delete(opened));
  };
  app.register(
    fastifyTRPCPlugin,
    {
      prefix: SIDECAR_RPC_PATH,
      trpcOptions: { router: createSidecarRouter(new StandInControl()) },
    } satisfies FastifyTRPCPluginOptions<SidecarRouter>,
  );
  app.post<{ Body: StartRequest }>(STREAM_START_PATH, (req, reply) => {
    const { requestId, attempt } = req.body;
    open(reply, { requestId, attempt, offset: 0 });
  });
  app.post<{ Body: ResumeRequest }>(STREAM_RESUME_PATH, (req, reply) => {
    const { requestId, attempt, offset } = req.body;
    open(reply, { requestId, attempt, offset });
  });
  return await app.listen({ host: "127.0.0.1", port: 0 });
}
