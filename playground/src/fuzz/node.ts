/** One backend server of the fuzzed world: a stand-in and its sidecar. */
import {
  createHttpEngine,
  createHttpPlainBackend,
  type Engine,
} from "@sassafrascleat/engine";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import type { Secret } from "@sassafrascleat/runtime";
import { createSidecar, type Sidecar } from "@sassafrascleat/sidecar";
import {
  createEngineServer,
  createPlainServer,
  type EngineServer,
  type PlainServer,
} from "@sassafrascleat/testing";
import { Break } from "./breaks.ts";

/** Factor on the stand-in engines' durations. */
const ENGINE_TIME_SCALE = 0.2;

/** Time that a plain call takes, in milliseconds. */
const PLAIN_DELAY_MS = 60;

/** The engine's client, or one that never cancels. */
function createEngine(baseUrl: string, rule: Break | undefined): Engine {
  const engine = createHttpEngine({ baseUrl });
  if (rule !== Break.ForgetCancel) return engine;
  const forgetful: Engine = {
    prefill: (req, signal) => engine.prefill(req, signal),
    decode: (req, signal) => engine.decode(req, signal),
    resume: (id, offset, signal) => engine.resume(id, offset, signal),
    cancel: () => Promise.resolve(true),
    held: () => engine.held(),
    load: () => engine.load(),
    cacheEvents: (afterNumber) => engine.cacheEvents(afterNumber),
    cacheSnapshot: () => engine.cacheSnapshot(),
    order: (req) => engine.order(req),
  };
  return forgetful;
}

/** A backend server whose sidecar can be killed and started again. */
export class FuzzNode {
  readonly listed: BackendServer;
  readonly engine?: EngineServer;
  readonly plain?: PlainServer;
  readonly #secret: Secret;
  readonly #rule: Break | undefined;
  #sidecar: Sidecar | undefined;
  /** Address of the last sidecar; connections fail while it is down. */
  #address = "http://127.0.0.1:1";

  constructor(
    listed: BackendServer,
    standIn: { engine?: EngineServer; plain?: PlainServer },
    secret: Secret,
    rule: Break | undefined,
  ) {
    this.listed = listed;
    this.engine = standIn.engine;
    this.plain = standIn.plain;
    this.#secret = secret;
    this.#rule = rule;
  }

  get address(): string {
    return this.#address;
  }

  get running(): boolean {
    return this.#sidecar !== undefined;
  }

  /** Starts the sidecar unless it runs; each start is a new incarnation. */
  async start(): Promise<void> {
    if (this.#sidecar) return;
    const baseUrl = this.listed.engineAddress;
    this.#sidecar = await createSidecar({
      backendServer: this.listed,
      host: "127.0.0.1",
      secrets: [this.#secret],
      engine: this.engine && createEngine(baseUrl, this.#rule),
      plain: this.plain && createHttpPlainBackend({ baseUrl }),
    });
    this.#address = this.#sidecar.address;
  }

  /** Ends the sidecar at once; the engine keeps what it holds. */
  async kill(): Promise<void> {
    const sidecar = this.#sidecar;
    this.#sidecar = undefined;
    await sidecar?.close();
  }

  async close(): Promise<void> {
    await this.kill();
    await Promise.all([this.engine?.close(), this.plain?.close()]);
  }
}

/** Starts stand-in and sidecar. */
export async function startFuzzNode(
  name: string,
  role: BackendRole,
  availabilityZone: string,
  secret: Secret,
  rule: Break | undefined,
): Promise<FuzzNode> {
  const isPlain = role === BackendRole.Plain;
  const plain = isPlain
    ? await createPlainServer({ delayMs: PLAIN_DELAY_MS })
    : undefined;
  const engine = isPlain ? undefined : await createEngineServer({
    name,
    availabilityZone,
    role,
    timeScale: ENGINE_TIME_SCALE,
  });
  const listed = {
    name,
    role,
    pool: role,
    office: "carolinas",
    availabilityZone,
    sidecarAddress: "http://unbound",
    engineAddress: (engine ?? plain)?.address ?? "",
    state: HostState.Live,
  };
  const node = new FuzzNode(listed, { engine, plain }, secret, rule);
  await node.start();
  return node;
}
