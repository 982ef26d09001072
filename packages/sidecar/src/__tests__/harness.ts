/** Sidecars with simulated engines, and a small client for their listener. */
import {
  createHttpEngine,
  createHttpPlainBackend,
  type HttpEngine,
} from "@sassafrascleat/engine";
import {
  BackendRole,
  type BackendServer,
  decodeFrame,
  type Frame,
  FrameKind,
  HostState,
  PLAIN_ATTACH_PATH,
  PLAIN_CALL_PATH,
  type PlainAttachRequest,
  type PlainCallReply,
  type PlainCallRequest,
  type PrefillDone,
  type PrefillRequest,
  RequestClass,
  type ReserveRequest,
  type StartRequest,
  STREAM_RESUME_PATH,
  STREAM_START_PATH,
  SYSTEM_SECRET_HEADER,
} from "@sassafrascleat/protocol";
import { Secret, sleep } from "@sassafrascleat/runtime";
import {
  createEngineServer,
  createPlainServer,
  type EngineServer,
  type EngineServerOptions,
  type PlainServer,
} from "@sassafrascleat/testing";
import { request } from "undici";
import { createSidecar, type Sidecar, type SidecarOptions } from "../index.ts";

export const SECRET = "system-secret";

/** Long enough that tests without renewals don't exceed it on a slow host. */
const LONG_RENEW_GRACE_MS = 30_000;

type Overrides = Partial<SidecarOptions>;

/** Simulated engine with its client and its sidecar. */
export interface EngineFixture {
  server: EngineServer;
  engine: HttpEngine;
  sidecar: Sidecar;
}

/** Servers and sidecars of one test; `close` stops them all, newest first. */
export class TestEnvironment {
  readonly #cleanups: (() => Promise<void>)[] = [];

  defer(cleanup: () => Promise<void>): void {
    this.#cleanups.unshift(cleanup);
  }

  async close(): Promise<void> {
    for (const cleanup of this.#cleanups) await cleanup();
  }

  async engineServer(options: Partial<EngineServerOptions> = {}) {
    const server = await createEngineServer({ name: "engine", ...options });
    this.defer(() => server.close());
    return server;
  }

  /** Starts a sidecar that connects to its engine at `address`. */
  async sidecar(
    role: BackendRole,
    address: string,
    engineAddress = address,
    overrides: Overrides = {},
  ): Promise<Pick<EngineFixture, "engine" | "sidecar">> {
    const engine = createHttpEngine({ baseUrl: address });
    const sidecar = await createSidecar({
      backendServer: backendServer(role, engineAddress),
      host: "127.0.0.1",
      secrets: [new Secret("system", SECRET)],
      engine,
      renewGraceMs: LONG_RENEW_GRACE_MS,
      ...overrides,
    });
    this.defer(async () => {
      await sidecar.close();
      await engine.close();
    });
    return { engine, sidecar };
  }

  async node(
    role: BackendRole.Prefill | BackendRole.Decode,
    options: Partial<EngineServerOptions> = {},
    overrides: Overrides = {},
  ): Promise<EngineFixture> {
    const server = await this.engineServer({ role, ...options });
    const { address } = server;
    return {
      server,
      ...await this.sidecar(role, address, address, overrides),
    };
  }

  async plain(overrides: Overrides = {}): Promise<
    { server: PlainServer; sidecar: Sidecar }
  > {
    const server = await createPlainServer();
    this.defer(() => server.close());
    const sidecar = await createSidecar({
      backendServer: backendServer(BackendRole.Plain, server.address),
      host: "127.0.0.1",
      secrets: [new Secret("system", SECRET)],
      plain: createHttpPlainBackend({ baseUrl: server.address }),
      ...overrides,
    });
    this.defer(() => sidecar.close());
    return { server, sidecar };
  }
}

function backendServer(role: BackendRole, engineAddress: string) {
  const server: BackendServer = {
    name: `${role}-1`,
    office: "office",
    availabilityZone: "zone-a",
    pool: role,
    role,
    sidecarAddress: "http://127.0.0.1:0",
    engineAddress,
    state: HostState.Live,
  };
  return server;
}

/** Creates a reservation request with a short prompt; `fields` override it. */
export function reserveRequest(
  requestId: string,
  fields: Partial<ReserveRequest> = {},
): ReserveRequest {
  return {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    service: "service",
    requestClass: RequestClass.Standard,
    promptTokens: 100,
    maxOutputTokens: 200,
    expectedOutputTokens: 50,
    maxWaitMs: 0,
    ...fields,
  };
}

export function prefillRequest(
  requestId: string,
  prompt: string,
  fields: Partial<PrefillRequest> = {},
): PrefillRequest {
  return {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    service: "service",
    model: "model",
    prompt,
    generated: [],
    promptTokens: 100,
    pieceHashes: [],
    startInMs: 0,
    startWithinMs: 5_000,
    priority: 0,
    ...fields,
  };
}

/** Runs a prompt on a prefill engine; throws if it is refused. */
export async function prefilled(
  node: EngineFixture,
  requestId: string,
  prompt: string,
  fields: Partial<PrefillRequest> = {},
): Promise<PrefillDone> {
  const req = prefillRequest(requestId, prompt, fields);
  const reply = await node.sidecar.control.prefill(req);
  if (!reply.done) throw new Error(`prefill refused: ${reply.reason}`);
  return reply;
}

export function startRequest(
  sidecar: Sidecar,
  requestId: string,
  prompt: string,
  kv: StartRequest["kv"],
  fields: Partial<StartRequest> = {},
): StartRequest {
  return {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    incarnation: sidecar.incarnation,
    model: "model",
    prompt,
    generated: [],
    promptTokens: 100,
    maxOutputTokens: 200,
    priority: 0,
    kv,
    ...fields,
  };
}

async function post(address: string, path: string, body: unknown) {
  return await request(address + path, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      [SYSTEM_SECRET_HEADER]: SECRET,
    },
    body: JSON.stringify(body),
  });
}

/** Reads the frames of a stream until it ends, breaks or `isDone` returns true. */
export async function readFrames(
  address: string,
  path: typeof STREAM_START_PATH | typeof STREAM_RESUME_PATH,
  body: unknown,
  isDone: (frames: Frame[]) => boolean = () => false,
): Promise<Frame[]> {
  const frames: Frame[] = [];
  try {
    const res = await post(address, path, body);
    let incompleteLine = "";
    for await (const chunk of res.body) {
      const lines = (incompleteLine + String(chunk)).split("\n");
      incompleteLine = lines.pop() ?? "";
      for (const line of lines) {
        const frame = decodeFrame(line);
        if (frame) frames.push(frame);
      }
      if (isDone(frames)) break;
    }
  } catch {
    // A broken stream returns the frames received so far.
  }
  return frames;
}

/** Joins the text in `frames`; throws if their offsets aren't contiguous. */
export function textOf(frames: readonly Frame[], from = 0): string {
  let text = "";
  let offset = from;
  for (const frame of frames) {
    if (frame.kind !== FrameKind.Tokens) continue;
    if (frame.offset !== offset) {
      throw new Error("frame offsets are not contiguous");
    }
    text += frame.tokens.join("");
    offset += frame.tokens.length;
  }
  return text;
}

/** Counts the tokens in `frames`. */
export function countOf(frames: readonly Frame[]): number {
  let count = 0;
  for (const frame of frames) {
    if (frame.kind === FrameKind.Tokens) count += frame.tokens.length;
  }
  return count;
}

export async function call(
  sidecar: Sidecar,
  requestId: string,
  fields: Partial<PlainCallRequest> = {},
): Promise<PlainCallReply> {
  const body: PlainCallRequest = {
    requestId,
    attempt: 1,
    entryId: "entry-1",
    incarnation: sidecar.incarnation,
    method: "POST",
    path: "/orders",
    headers: { "content-type": "text/plain" },
    bodyBase64: Buffer.from(`body of ${requestId}`).toString("base64"),
    timeoutMs: 5_000,
    ...fields,
  };
  const res = await post(sidecar.address, PLAIN_CALL_PATH, body);
  return await res.body.json() as PlainCallReply;
}

export async function attach(
  sidecar: Sidecar,
  requestId: string,
  fields: Partial<PlainAttachRequest> = {},
): Promise<PlainCallReply> {
  const body: PlainAttachRequest = {
    requestId,
    attempt: 1,
    incarnation: sidecar.incarnation,
    waitMs: 0,
    settle: true,
    ...fields,
  };
  const res = await post(sidecar.address, PLAIN_ATTACH_PATH, body);
  return await res.body.json() as PlainCallReply;
}

/** Waits until `condition` returns true; throws after ten seconds. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = performance.now() + 10_000;
  while (!await condition()) {
    if (performance.now() > end) {
      throw new Error(`timed out waiting for: ${description}`);
    }
    await sleep(5);
  }
}
