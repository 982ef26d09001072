/** Fakes of an entry's dependencies: configuration, hosts, placement and store. */
import {
  type ConfigView,
  type Customer,
  type CustomerLimit,
  modelServiceSchema,
  type ObjectByKind,
  ObjectKind,
  plainServiceSchema,
  type Policy,
  policySchema,
  type Service,
  type Versioned,
} from "@sassafrascleat/config";
import type { HostView } from "@sassafrascleat/membership";
import {
  type BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import type {
  BackendState,
  DecodeProbe,
  PlacementPolicy,
  PlacementRequest,
} from "@sassafrascleat/routing";
import {
  createMemoryStore,
  type GetResult,
  type ListOptions,
  type ListResult,
  type ObjectStore,
  type PutResult,
  StoreStatus,
} from "@sassafrascleat/store";

export const MODEL_SERVICE = modelServiceSchema.parse({
  kind: "model",
  name: "guides",
  office: "hobart",
  model: "guide-writer",
  prefillPool: "prefill",
  decodePool: "decode",
  policy: "plain-policy",
  maxPromptTokens: 5_000,
});

export const PLAIN_SERVICE = plainServiceSchema.parse({
  kind: "plain",
  name: "orders",
  office: "hobart",
  pool: "orders",
  policy: "plain-policy",
  repeatable: [{ method: "GET", path: "/stock" }],
  timeoutMs: 2_000,
});

/** A fixed configuration. */
export class FakeConfig implements ConfigView {
  sequence = 1;
  customers: Customer[] = [];
  policy: Policy;

  constructor(policy: Partial<Policy> & { limit?: CustomerLimit } = {}) {
    this.policy = policySchema.parse({ name: "plain-policy", ...policy });
  }

  get<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Versioned<ObjectByKind[K]> | undefined {
    return this.list(kind).find((it) => it.object.name === name);
  }

  list<K extends ObjectKind>(kind: K): Versioned<ObjectByKind[K]>[] {
    const objects: Partial<Record<ObjectKind, (Service | Policy)[]>> = {
      [ObjectKind.Service]: [MODEL_SERVICE, PLAIN_SERVICE],
      [ObjectKind.Policy]: [this.policy],
    };
    return (objects[kind] ?? []).map((object) => ({
      version: 1,
      object: object as ObjectByKind[K],
    }));
  }

  customerByKeySha256(sha256: string): Customer | undefined {
    return this.customers.find((it) => it.keySha256.includes(sha256));
  }

  onChange(): void {}
}

/** A list of backend servers that a test sets; records the observed failures. */
export class FakeHosts implements HostView {
  servers: BackendServer[] = [];
  failures: string[] = [];

  add(
    name: string,
    pool: string,
    role: BackendRole,
    sidecarAddress: string,
  ): void {
    this.servers.push({
      name,
      office: "hobart",
      availabilityZone: "hobart-a",
      pool,
      role,
      sidecarAddress,
      engineAddress: "http://127.0.0.1:1",
      state: HostState.Live,
    });
  }

  candidates(pool: string): readonly BackendServer[] {
    return this.servers.filter((it) => it.pool === pool);
  }

  find(name: string): BackendServer | undefined {
    return this.servers.find((it) => it.name === name);
  }

  all(): readonly BackendServer[] {
    return this.servers;
  }

  observe(_name: string): void {}

  observeFailure(name: string): void {
    this.failures.push(name);
  }
}

/** Probes every decode server in list order and prefills on the first prefill server. */
export class ListOrderPolicy implements PlacementPolicy {
  decodeProbes(
    _req: PlacementRequest,
    pool: readonly BackendState[],
  ): DecodeProbe[] {
    return pool.map((it) => ({ name: it.server.name, maxWaitMs: 1_000 }));
  }

  prefillPlan(
    _req: PlacementRequest,
    _grant: unknown,
    pool: readonly BackendState[],
  ) {
    const name = pool[0]?.server.name;
    if (!name) return undefined;
    return { name, startInMs: 0, startWithinMs: 500, priority: 1 };
  }
}

/** An in-memory store that can be unavailable or lose the responses to writes. */
export class FakeStore implements ObjectStore {
  readonly memory = createMemoryStore();
  isUnavailable = false;
  /** Number of upcoming writes that take effect but whose response is lost. */
  lostResponses = 0;
  puts = 0;

  async get(key: string): Promise<GetResult> {
    return this.isUnavailable ? unavailable() : this.memory.get(key);
  }

  async put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<PutResult> {
    if (this.isUnavailable) return unavailable();
    this.puts += 1;
    const result = await this.memory.put(key, value, expectedVersion);
    if (this.lostResponses === 0) return result;
    this.lostResponses -= 1;
    return { status: StoreStatus.Unknown, message: "lost" };
  }

  async delete(key: string, expectedVersion: number): Promise<PutResult> {
    return this.isUnavailable
      ? unavailable()
      : this.memory.delete(key, expectedVersion);
  }

  async list(options: ListOptions): Promise<ListResult> {
    return this.isUnavailable ? unavailable() : this.memory.list(options);
  }

  async watch() {
    return unavailable();
  }
}

function unavailable() {
  return {
    status: StoreStatus.Unavailable,
    message: "the store is unavailable",
  } as const;
}
