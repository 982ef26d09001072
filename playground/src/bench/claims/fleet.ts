/** The measured setup: entries in front of one plain service, and a store. */
import { createConfigReplica, ObjectKind } from "@sassafrascleat/config";
import { createEntry, type Entry } from "@sassafrascleat/entry";
import { createHostView } from "@sassafrascleat/membership";
import { BackendRole } from "@sassafrascleat/protocol";
import { createHttpStore } from "@sassafrascleat/store";
import {
  type BackendAddresses,
  type BackendThread,
  startBackend,
} from "./backend_thread.ts";
import { OFFICE, PLAIN_BACKEND, SECRET, ZONE } from "./plain_backend.ts";

/** Entries in this thread, in front of a backend in a worker thread. */
export interface Fleet {
  entries: Entry[];
  backend: BackendThread;
  close(): Promise<void>;
}

/** Starts `entryCount` entries; each store call takes `storeDelayMs`. */
export async function startFleet(
  entryCount: number,
  storeDelayMs: number,
): Promise<Fleet> {
  const backend = await startBackend(storeDelayMs);
  const entries: Entry[] = [];
  for (let i = 0; i < entryCount; i++) {
    entries.push(await startEntry(`entry-${i + 1}`, backend.addresses));
  }
  const close = async () => {
    await Promise.all(entries.map((entry) => entry.close()));
    await backend.close();
  };
  return { entries, backend, close };
}

async function startEntry(
  entryId: string,
  addresses: BackendAddresses,
): Promise<Entry> {
  const server = { ...PLAIN_BACKEND, sidecarAddress: addresses.sidecar };
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
    store: createHttpStore({ baseUrl: addresses.store }),
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
  replica.installSnapshot({
    sequence: 1,
    objects,
    deleted: [],
    recentPatches: [],
  });
  return replica;
}
