/** What the bench measures: entries before one plain service, and a store. */
import { createConfigReplica, ObjectKind } from "@sassafrascleat/config";
import { createHttpPlainBackend } from "@sassafrascleat/engine";
import { createEntry, type Entry } from "@sassafrascleat/entry";
import { createHostView } from "@sassafrascleat/membership";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";
import { Secret } from "@sassafrascleat/runtime";
import { createSidecar } from "@sassafrascleat/sidecar";
import { createHttpStore } from "@sassafrascleat/store";
import {
  createPlainServer,
  createStoreServer,
  type PlainServer,
  type StoreServer,
} from "@sassafrascleat/testing";

const SECRET = new Secret("system", "bench");
const OFFICE = "hobart";
const ZONE = "hobart-a";
const CONCURRENCY = 256;

/** A fleet in one process; the store and the service answer over HTTP. */
export interface Fleet {
  entries: Entry[];
  store: StoreServer;
  service: PlainServer;
  close(): Promise<void>;
}

/** Starts `entryCount` entries; the store takes `storeDelayMs` for each call. */
export async function startFleet(
  entryCount: number,
  storeDelayMs: number,
): Promise<Fleet> {
  const service = await createPlainServer();
  const store = await createStoreServer();
  store.setFaults({ delayMs: storeDelayMs });
  const host = backendServer();
  const sidecar = await createSidecar({
    backendServer: host,
    host: "127.0.0.1",
    secrets: [SECRET],
    plain: createHttpPlainBackend({ baseUrl: service.address }),
    plainConcurrency: CONCURRENCY,
  });
  host.sidecarAddress = sidecar.address;
  const entries: Entry[] = [];
  for (let i = 0; i < entryCount; i++) {
    entries.push(await startEntry(`entry-${i + 1}`, host, store.url));
  }
  const close = async () => {
    await Promise.all(entries.map((entry) => entry.close()));
    await sidecar.close();
    await Promise.all([service.close(), store.close()]);
  };
  return { entries, store, service, close };
}

function backendServer(): BackendServer {
  return {
    name: "desk-1",
    office: OFFICE,
    availabilityZone: ZONE,
    pool: "desk",
    role: BackendRole.Plain,
    sidecarAddress: "http://127.0.0.1:1",
    engineAddress: "http://127.0.0.1:1",
    state: HostState.Live,
  };
}

async function startEntry(
  entryId: string,
  server: BackendServer,
  storeUrl: string,
): Promise<Entry> {
  const hosts = createHostView({
    source: { list: async () => [server] },
    office: OFFICE,
    availabilityZone: ZONE,
    entryId,
  });
  await hosts.refresh(new AbortController().signal);
  return createEntry({
    entryId,
    office: OFFICE,
    availabilityZone: ZONE,
    secret: SECRET,
    config: configuration(),
    hosts,
    store: createHttpStore({ baseUrl: storeUrl }),
  });
}

function configuration() {
  const replica = createConfigReplica();
  const limit = {
    requestsPerSecond: 100_000,
    burst: 10_000,
    concurrent: 10_000,
  };
  const policy = { name: "desk", limit, maxQueueLength: 4_000 };
  const service = {
    kind: "plain",
    name: "orders",
    office: OFFICE,
    pool: "desk",
    policy: "desk",
  };
  const pool = { name: "desk", office: OFFICE, role: BackendRole.Plain };
  const objects = [
    { kind: ObjectKind.Policy, object: policy },
    { kind: ObjectKind.Pool, object: pool },
    { kind: ObjectKind.Service, object: service },
  ].map(({ kind, object }) => ({
    kind,
    name: object.name,
    version: 1,
    object,
  }));
  replica.install({ sequence: 1, objects, deleted: [], recentPatches: [] });
  return replica;
}
