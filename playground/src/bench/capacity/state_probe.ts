/**
 * Builds the control-plane state of one daemon for a given number of customers
 * and backend servers, and reports its heap size and the CPU time of updating
 * it. Needs `--expose-gc`.
 */
import {
  ChangeAction,
  createConfigReplica,
  ObjectKind,
  operationsForCreate,
} from "@sassafrascleat/config";
import { createHostView } from "@sassafrascleat/membership";
import {
  BackendRole,
  type BackendServer,
  HostState,
} from "@sassafrascleat/protocol";

/** Size and update cost of one daemon's control-plane state. */
export interface ControlState {
  customers: number;
  backendServers: number;
  /** Heap size of the replica with all customers, in megabytes. */
  replicaHeapMb: number;
  /** Heap size that retained changes add, in megabytes. */
  keptChangesHeapMb: number;
  keptChanges: number;
  snapshotBytes: number;
  applyMsPerChange: number;
  /** Heap size of the host view, in megabytes. */
  hostsHeapMb: number;
  hostListBytes: number;
  /** CPU time to parse and install one host list. */
  hostListMs: number;
  /** CPU time of one `candidates` call for a pool whose subset is cached. */
  candidatesUs: number;
}

const [customers = 0, backendServers = 0, changes = 0] = process.argv
  .slice(2).map(Number);

/** Heap in use after garbage of earlier steps is collected, in megabytes. */
async function heapMb(): Promise<number> {
  for (let round = 0; round < GC_ROUNDS; round++) {
    await new Promise((resolve) => setImmediate(resolve));
    globalThis.gc?.();
  }
  return process.memoryUsage().heapUsed / 1e6;
}

const GC_ROUNDS = 5;

function cpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

const envelope = {
  author: "bench",
  office: "office-0",
  time: "2026-01-01T00:00:00.000Z",
  kind: ObjectKind.Customer,
};

function createChangeAt(index: number) {
  const name = `customer-${index}`;
  return {
    ...envelope,
    sequence: index + 1,
    patchId: `create-${index}`,
    name,
    action: ChangeAction.Create,
    baseVersion: 0,
    operations: operationsForCreate({
      name,
      keySha256: [index.toString(16).padStart(64, "0")],
      limit: { requestsPerSecond: 10 },
    }),
  };
}

function patchChangeAt(index: number) {
  return {
    ...envelope,
    sequence: customers + index + 1,
    patchId: `patch-${index}-0123456789abcdef`,
    name: `customer-${index % customers}`,
    action: ChangeAction.Patch,
    baseVersion: 1 + Math.floor(index / customers),
    operations: [{
      op: "replace" as const,
      path: "/limit/requestsPerSecond",
      value: index + 1,
    }],
  };
}

/** JSON text of a snapshot that contains all customers. */
function snapshotText(): string {
  const replica = createConfigReplica();
  for (let index = 0; index < customers; index++) {
    replica.apply(createChangeAt(index));
  }
  return JSON.stringify(replica.snapshot());
}

async function measureReplica() {
  const text = snapshotText();
  const start = await heapMb();
  const replica = createConfigReplica();
  replica.installSnapshot(JSON.parse(text));
  const replicaHeapMb = await heapMb() - start;
  const cpuBefore = cpuMs();
  for (let index = 0; index < changes; index++) {
    replica.apply(patchChangeAt(index));
  }
  const applyMsPerChange = (cpuMs() - cpuBefore) / changes;
  const keptChangesHeapMb = await heapMb() - start - replicaHeapMb;
  if (replica.sequence !== customers + changes) {
    throw new Error("the replica rejected a change from the probe");
  }
  return {
    replicaHeapMb,
    keptChangesHeapMb,
    keptChanges: replica.recentChanges().length,
    snapshotBytes: Buffer.byteLength(text),
    applyMsPerChange,
  };
}

function serverAt(index: number): BackendServer {
  return {
    name: `engine-${index}`,
    office: `office-${index % 4}`,
    availabilityZone: `zone-${index % 14}`,
    pool: `pool-${index % 20}`,
    role: index % 3 === 0 ? BackendRole.Prefill : BackendRole.Decode,
    sidecarAddress: `http://10.0.${index >> 8}.${index & 255}:7000`,
    engineAddress: `http://10.0.${index >> 8}.${index & 255}:8000`,
    state: HostState.Live,
  };
}

async function measureHosts() {
  const list = Array.from({ length: backendServers }, (_, at) => serverAt(at));
  const text = JSON.stringify(list);
  const { signal } = new AbortController();
  const before = await heapMb();
  const view = createHostView({
    source: { list: () => Promise.resolve(JSON.parse(text)) },
    office: "office-0",
    availabilityZone: "zone-0",
    entryId: "entry-0",
  });
  await view.refresh(signal);
  const hostsHeapMb = await heapMb() - before;
  const rounds = 20;
  const cpuBefore = cpuMs();
  for (let round = 0; round < rounds; round++) await view.refresh(signal);
  const hostListMs = (cpuMs() - cpuBefore) / rounds;
  const calls = 200_000;
  view.candidates("pool-0");
  const callsBefore = cpuMs();
  for (let call = 0; call < calls; call++) view.candidates("pool-0");
  const candidatesUs = (cpuMs() - callsBefore) * 1_000 / calls;
  return {
    hostsHeapMb,
    hostListBytes: Buffer.byteLength(text),
    hostListMs,
    candidatesUs,
  };
}

const state: ControlState = {
  customers,
  backendServers,
  ...await measureReplica(),
  ...await measureHosts(),
};
process.send?.(state, () => process.exit(0));
