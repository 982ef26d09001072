/**
 * A scripted sidecar: it grants, prefills and streams immediately unless a test
 * replaces one of its handlers. It records every request that it receives.
 */
import {
  type AttemptRef,
  type CancelReply,
  type CancelRequest,
  CancelState,
  createSidecarRouter,
  encodeFrame,
  FinishReason,
  type Frame,
  FrameKind,
  type LoadHint,
  PLAIN_ATTACH_PATH,
  PLAIN_CALL_PATH,
  type PlainAttachRequest,
  type PlainCallReply,
  type PlainCallRequest,
  PlainCallState,
  type PrefillReply,
  type PrefillRequest,
  RefusalReason,
  type RenewReply,
  type RenewRequest,
  type ReserveReply,
  type ReserveRequest,
  type ResumeRequest,
  SIDECAR_RPC_PATH,
  type SidecarControl,
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
} from "@sassafrascleat/protocol";
import {
  fastifyTRPCPlugin,
  type FastifyTRPCPluginOptions,
} from "@trpc/server/adapters/fastify";
import fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import type { ServerResponse } from "node:http";

export const IDLE_HINT: LoadHint = {
  running: 0,
  reserved: 0,
  slots: 8,
  freePieces: 100,
  totalPieces: 100,
  queuedTokens: 0,
  rate: 10_000,
  leaving: false,
};

/** Writes frames of one attempt. */
export class FrameWriter {
  readonly #res: ServerResponse;
  readonly ref: AttemptRef;

  constructor(res: ServerResponse, ref: AttemptRef) {
    this.#res = res;
    this.ref = ref;
  }

  frame(fields: Partial<Frame> & { kind: FrameKind; offset: number }): void {
    const { requestId, attempt } = this.ref;
    this.#res.write(encodeFrame({ requestId, attempt, ...fields } as Frame));
  }

  tokens(offset: number, ...tokens: string[]): void {
    this.frame({ kind: FrameKind.Tokens, offset, tokens });
  }

  end(offset: number): void {
    this.frame({ kind: FrameKind.End, offset, finish: FinishReason.Stop });
    this.#res.end();
  }

  fail(frame: Partial<Frame>): void {
    this.frame({ kind: FrameKind.Failed, offset: 0, ...frame });
    this.#res.end();
  }

  /** Resolves when the reader has closed the connection. */
  closed(): Promise<void> {
    if (this.#res.destroyed) return Promise.resolve();
    return new Promise((resolve) => this.#res.once("close", resolve));
  }
}

/** A sidecar whose replies a test can replace. */
export class FakeSidecar implements SidecarControl {
  readonly incarnation: string;
  readonly reserves: ReserveRequest[] = [];
  readonly prefills: PrefillRequest[] = [];
  readonly cancels: CancelRequest[] = [];
  readonly renews: RenewRequest[] = [];
  readonly starts: StartRequest[] = [];
  readonly resumes: ResumeRequest[] = [];
  readonly calls: PlainCallRequest[] = [];
  readonly attaches: PlainAttachRequest[] = [];
  /** IDs of requests with a reservation or a prefill in progress. */
  readonly held = new Set<string>();
  answer = ["a ", "whole ", "answer"];
  address = "";
  readonly #app: FastifyInstance = fastify();

  constructor(incarnation: string) {
    this.incarnation = incarnation;
  }

  onReserve: (req: ReserveRequest) => Promise<ReserveReply> = async () =>
    this.granted();
  onPrefill: (req: PrefillRequest) => Promise<PrefillReply> = async (req) =>
    this.prefilled(req);
  onStart: (req: StartRequest, out: FrameWriter) => void = (req, out) => {
    const rest = this.answer.slice(req.generated.length);
    out.tokens(0, ...rest);
    out.end(rest.length);
  };
  onResume: (req: ResumeRequest, out: FrameWriter) => void = () => {};
  onCall: (req: PlainCallRequest) => Promise<PlainCallReply | undefined> =
    async () => this.answered("done");
  onAttach: (req: PlainAttachRequest) => Promise<PlainCallReply | undefined> =
    async () => this.notRun();

  granted(): ReserveReply {
    const { incarnation } = this;
    const times = { readyInMs: 0, expiresInMs: 5_000 };
    return { granted: true, incarnation, ...times, hint: IDLE_HINT };
  }

  refused(reason: RefusalReason): ReserveReply {
    const { incarnation } = this;
    const retryAfterMs = 5;
    return {
      granted: false,
      incarnation,
      reason,
      retryAfterMs,
      hint: IDLE_HINT,
    };
  }

  prefilled(req: PrefillRequest, expiresInMs = 800): PrefillReply {
    return {
      done: true,
      incarnation: this.incarnation,
      kv: {
        handle: `kv-${req.requestId}-${req.attempt}`,
        backendServer: "prefill-1",
        availabilityZone: "hobart-a",
        engineAddress: "http://127.0.0.1:1",
        tokens: req.promptTokens,
        expiresInMs,
      },
      cachedTokens: 0,
      queuedMs: 0,
      ranMs: 1,
      hint: IDLE_HINT,
    };
  }

  answered(body: string, status = 200): PlainCallReply {
    const bodyBase64 = Buffer.from(body).toString("base64");
    const answer = { status, headers: { "x-answer": "yes" }, bodyBase64 };
    return {
      state: PlainCallState.Answered,
      incarnation: this.incarnation,
      answer,
    };
  }

  running(): PlainCallReply {
    return { state: PlainCallState.Running, incarnation: this.incarnation };
  }

  notRun(reason = RefusalReason.Tombstoned): PlainCallReply {
    const { incarnation } = this;
    return { state: PlainCallState.NotRun, incarnation, reason };
  }

  async reserve(req: ReserveRequest): Promise<ReserveReply> {
    this.reserves.push(req);
    const reply = await this.onReserve(req);
    if (reply.granted) this.held.add(req.requestId);
    return reply;
  }

  async prefill(req: PrefillRequest): Promise<PrefillReply> {
    this.prefills.push(req);
    this.held.add(req.requestId);
    const reply = await this.onPrefill(req);
    this.held.delete(req.requestId);
    return reply;
  }

  async renew(req: RenewRequest): Promise<RenewReply> {
    this.renews.push(req);
    return { incarnation: this.incarnation, missing: [], hint: IDLE_HINT };
  }

  async cancel(req: CancelRequest): Promise<CancelReply> {
    this.cancels.push(req);
    this.held.delete(req.requestId);
    return { incarnation: this.incarnation, state: CancelState.Running };
  }

  drain(): never {
    throw new Error("unexpected call: an entry never drains a sidecar");
  }

  order(): never {
    throw new Error(
      "unexpected call: an entry never sends orders to an engine",
    );
  }

  status(): never {
    throw new Error(
      "unexpected call: an entry never requests a sidecar's status",
    );
  }

  async listen(): Promise<void> {
    const router = createSidecarRouter(this);
    type Plugin = FastifyTRPCPluginOptions<typeof router>;
    await this.#app.register(fastifyTRPCPlugin, {
      prefix: SIDECAR_RPC_PATH,
      trpcOptions: { router } satisfies Plugin["trpcOptions"],
    });
    this.#stream(STREAM_START_PATH, this.starts, (req, out) => {
      this.onStart(req, out);
    });
    this.#stream(STREAM_RESUME_PATH, this.resumes, (req, out) => {
      this.onResume(req, out);
    });
    this.#plain(PLAIN_CALL_PATH, this.calls, (req) => this.onCall(req));
    this.#plain(PLAIN_ATTACH_PATH, this.attaches, (req) => this.onAttach(req));
    this.address = await this.#app.listen({ host: "127.0.0.1", port: 0 });
  }

  async close(): Promise<void> {
    this.#app.server.closeAllConnections();
    await this.#app.close();
  }

  #stream<T extends AttemptRef>(
    path: string,
    receivedRequests: T[],
    handle: (req: T, out: FrameWriter) => void,
  ): void {
    this.#app.post(path, (req, reply: FastifyReply) => {
      const body = req.body as T;
      receivedRequests.push(body);
      reply.hijack();
      reply.raw.writeHead(200, { "content-type": "application/x-ndjson" });
      handle(body, new FrameWriter(reply.raw, body));
    });
  }

  #plain<T>(
    path: string,
    receivedRequests: T[],
    handle: (req: T) => Promise<PlainCallReply | undefined>,
  ): void {
    this.#app.post(path, async (req, reply) => {
      receivedRequests.push(req.body as T);
      const answer = await handle(req.body as T);
      if (answer) return reply.send(answer);
      reply.hijack();
      reply.raw.destroy();
    });
  }
}
