/**
 * Test rig: an entry with real sidecars in front of simulated servers. The entry
 * reaches each sidecar through a fault proxy.
 */
import {
  createHttpEngine,
  createHttpPlainBackend,
} from "@sassafrascleat/engine";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";
import {
  createSidecar,
  type Sidecar,
  type SidecarOptions,
} from "@sassafrascleat/sidecar";
import {
  createEngineServer,
  createFaultProxy,
  createPlainServer,
  type EngineServer,
  type FaultProxy,
  type PlainServer,
} from "@sassafrascleat/testing";
import { createEntry, type Entry } from "../index.ts";
import { FakeConfig, FakeHosts, FakeStore } from "./fakes.ts";

const SECRET = new Secret("system", "between us");
const TIME_SCALE = 0.2;
/**
 * Lifetime of prefill results and timeout of their transfer, in real
 * milliseconds: longer than a busy machine delays the step from prefill to decode.
 */
const RESULT_LIFETIME_MS = 20_000;

/** A simulated server, its sidecar and the proxy between that and the entry. */
export interface ProxiedBackend<T> {
  server: T;
  sidecar: Sidecar;
  proxy: FaultProxy;
}

/** One entry with one prefill engine, two decode engines and one plain server. */
export class RealRig {
  readonly hosts = new FakeHosts();
  readonly store = new FakeStore();
  readonly prefills: ProxiedBackend<EngineServer>[] = [];
  readonly decodes: ProxiedBackend<EngineServer>[] = [];
  readonly plains: ProxiedBackend<PlainServer>[] = [];
  readonly #cleanups: (() => Promise<unknown>)[] = [];
  #entry: Entry | undefined;

  static async start(
    overrides: Partial<SidecarOptions> = {},
  ): Promise<RealRig> {
    const rig = new RealRig();
    const prefill = rig.#engine(BackendRole.Prefill, "prefill-1", overrides);
    rig.prefills.push(await prefill);
    for (const name of ["decode-1", "decode-2"]) {
      const node = await rig.#engine(BackendRole.Decode, name, overrides);
      rig.decodes.push(node);
    }
    rig.plains.push(await rig.#plain("orders-1"));
    rig.#entry = await createEntry({
      entryId: "entry-1",
      office: "hobart",
      availabilityZone: "hobart-a",
      secret: SECRET,
      config: new FakeConfig(),
      hosts: rig.hosts,
      store: rig.store,
      lameDuckMs: 0,
    });
    return rig;
  }

  get entry(): Entry {
    return this.#entry!;
  }

  async close(): Promise<void> {
    await this.#entry?.close();
    for (const cleanup of this.#cleanups.reverse()) await cleanup();
  }

  async #engine(
    role: BackendRole.Prefill | BackendRole.Decode,
    name: string,
    overrides: Partial<SidecarOptions>,
  ): Promise<ProxiedBackend<EngineServer>> {
    const server = await createEngineServer({
      name,
      role,
      timeScale: TIME_SCALE,
      resultLifetimeMs: RESULT_LIFETIME_MS / TIME_SCALE,
    });
    const engine = createHttpEngine({ baseUrl: server.address });
    this.#cleanups.push(() => server.close(), () => engine.close());
    const node = { role, pool: role, name, address: server.address };
    return this.#node(server, node, {
      transferTimeoutMs: RESULT_LIFETIME_MS,
      ...overrides,
      engine,
    });
  }

  async #plain(name: string): Promise<ProxiedBackend<PlainServer>> {
    const server = await createPlainServer();
    this.#cleanups.push(() => server.close());
    const plain = createHttpPlainBackend({ baseUrl: server.address });
    const { address } = server;
    const role = BackendRole.Plain;
    return this.#node(server, { role, pool: "orders", name, address }, {
      plain,
    });
  }

  async #node<T>(
    server: T,
    node: { role: BackendRole; pool: string; name: string; address: string },
    options: Partial<SidecarOptions>,
  ): Promise<ProxiedBackend<T>> {
    const backendServer: BackendServer = {
      name: node.name,
      office: "hobart",
      availabilityZone: "hobart-a",
      pool: node.pool,
      role: node.role,
      sidecarAddress: "http://127.0.0.1:1",
      engineAddress: node.address,
      state: HostState.Live,
    };
    const sidecar = await createSidecar({
      backendServer,
      host: "127.0.0.1",
      secrets: [SECRET],
      ...options,
    });
    const targetPort = Number(new URL(sidecar.address).port);
    const proxy = await createFaultProxy({ targetPort });
    this.#cleanups.push(() => sidecar.close(), () => proxy.close());
    this.hosts.add(node.name, node.pool, node.role, proxy.address);
    return { server, sidecar, proxy };
  }
}
