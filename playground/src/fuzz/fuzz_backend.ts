/**
 * Backend server of the deployment under fuzzing: a stand-in and its sidecar.
 */
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
import { type ActiveMutation, Mutation } from "./mutations.ts";

/** Factor applied to the stand-in engines' durations. */
const ENGINE_TIME_SCALE = 0.2;

/** Duration of a plain call, in milliseconds. */
const PLAIN_DELAY_MS = 60;

/** Creates the engine client; with `ForgetCancel` it never sends cancels. */
function createEngine(
  baseUrl: string,
  mutation: ActiveMutation | undefined,
): Engine {
  const engine = createHttpEngine({ baseUrl });
  if (mutation?.kind !== Mutation.ForgetCancel) return engine;
  const withoutCancel: Engine = {
    prefill: (req, signal) => engine.prefill(req, signal),
    decode: (req, signal) => engine.decode(req, signal),
    resume: (id, offset, signal) => engine.resume(id, offset, signal),
    cancel: () => {
      mutation.countEffect();
      return Promise.resolve(true);
    },
    held: () => engine.held(),
    load: () => engine.load(),
    cacheEvents: (afterNumber) => engine.cacheEvents(afterNumber),
    cacheSnapshot: () => engine.cacheSnapshot(),
    order: (req) => engine.order(req),
  };
  return withoutCancel;
}

/** A backend server whose sidecar can be killed and restarted. */
export class FuzzBackend {
  readonly listed: BackendServer;
  readonly engine?: EngineServer;
  readonly plain?: PlainServer;
  readonly #secret: Secret;
  readonly #mutation: ActiveMutation | undefined;
  #sidecar: Sidecar | undefined;
  /** Address of the most recent sidecar; connections fail while it is down. */
  #address = "http://127.0.0.1:1";

  constructor(
    listed: BackendServer,
    standIn: { engine?: EngineServer; plain?: PlainServer },
    secret: Secret,
    mutation: ActiveMutation | undefined,
  ) {
    this.listed = listed;
    this.engine = standIn.engine;
    this.plain = standIn.plain;
    this.#secret = secret;
    this.#mutation = mutation;
  }

  get address(): string {
    return this.#address;
  }

  get running(): boolean {
    return this.#sidecar !== undefined;
  }

  /**
   * Starts the sidecar unless it is running; each start is a new incarnation.
   */
  async startSidecar(): Promise<void> {
    if (this.#sidecar) return;
    const baseUrl = this.listed.engineAddress;
    this.#sidecar = await createSidecar({
      backendServer: this.listed,
      host: "127.0.0.1",
      secrets: [this.#secret],
      engine: this.engine && createEngine(baseUrl, this.#mutation),
      plain: this.plain && createHttpPlainBackend({ baseUrl }),
    });
    this.#address = this.#sidecar.address;
  }

  /** Closes the sidecar; the engine keeps the memory that it holds. */
  async killSidecar(): Promise<void> {
    const sidecar = this.#sidecar;
    this.#sidecar = undefined;
    await sidecar?.close();
  }

  async close(): Promise<void> {
    await this.killSidecar();
    await Promise.all([this.engine?.close(), this.plain?.close()]);
  }
}

/** Starts a stand-in and its sidecar. */
export async function startFuzzBackend(
  name: string,
  role: BackendRole,
  availabilityZone: string,
  secret: Secret,
  mutation: ActiveMutation | undefined,
): Promise<FuzzBackend> {
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
  const backend = new FuzzBackend(listed, { engine, plain }, secret, mutation);
  await backend.startSidecar();
  return backend;
}
