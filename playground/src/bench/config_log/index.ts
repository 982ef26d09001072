/**
 * Benchmark of the configuration log with a stand-in store on loopback: cost of
 * a proposal, replication lag of a second daemon, concurrent proposers, upkeep
 * of the log, and a daemon start at the planned size. The stand-in store runs in
 * this process, so the times include its CPU time.
 */
import {
  ChangeAction,
  type ChangeLog,
  createChangeLog,
  createConfigReplica,
  type MemoryReplica,
  ObjectKind,
  operationsForCreate,
  ProposeKind,
  type ProposeRequest,
} from "@sassafrascleat/config";
import { invariant, sleep } from "@sassafrascleat/runtime";
import { createHttpStore, type ObjectStore } from "@sassafrascleat/store";
import { createStoreServer, type StoreServer } from "@sassafrascleat/testing";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { build, type Histogram } from "hdr-histogram-js";

/** Changes of a single proposer; two proposers make a fifth of them each. */
const CHANGES = 500;

/** Number of changes whose replication to another daemon is timed. */
const LAG_CHANGES = 60;

/** Number of changes before the measured upkeep, which archives one segment. */
const UPKEEP_CHANGES = 1_700;

/** Number of changes in one archive segment. */
const SEGMENT_CHANGES = 500;

/** Number of customers at the planned size. */
const CUSTOMERS = 5_600;

/** Delay after each timed change, in milliseconds. */
const LAG_PAUSE_MS = 150;

const neverAborted = new AbortController().signal;

interface Daemon {
  replica: MemoryReplica;
  log: ChangeLog;
}

function createDaemon(store: ObjectStore, office: string): Daemon {
  const replica = createConfigReplica();
  return { replica, log: createChangeLog({ store, replica, office }) };
}

function createProposal(
  patchId: string,
  kind: ObjectKind,
  object: { name: string },
): ProposeRequest {
  return {
    patchId,
    author: "bench",
    kind,
    name: object.name,
    action: ChangeAction.Create,
    baseVersion: 0,
    operations: operationsForCreate(object),
  };
}

function patchProposal(patchId: string, baseVersion: number): ProposeRequest {
  const value = (baseVersion % 16) + 1;
  return {
    ...createProposal(patchId, ObjectKind.Policy, { name: "std" }),
    action: ChangeAction.Patch,
    baseVersion,
    operations: [{ op: "replace", path: "/maxAttempts", value }],
  };
}

async function proposeAccepted(
  daemon: Daemon,
  req: ProposeRequest,
): Promise<void> {
  const outcome = await daemon.log.propose(req, neverAborted);
  invariant(
    outcome.kind === ProposeKind.Accepted,
    `expected an accepted proposal, got ${outcome.kind}`,
  );
}

function storeCalls(server: StoreServer): number {
  const { reads, writes } = server.counts();
  return reads + writes;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Time and store calls per accepted change with a single proposer. */
async function benchPropose(server: StoreServer, daemon: Daemon) {
  await proposeAccepted(
    daemon,
    createProposal("p0", ObjectKind.Policy, { name: "std" }),
  );
  const callsBefore = storeCalls(server);
  const start = performance.now();
  for (let i = 1; i <= CHANGES; i++) {
    await proposeAccepted(daemon, patchProposal(`p${i}`, i));
  }
  return {
    msPerChange: round((performance.now() - start) / CHANGES),
    callsPerChange: round((storeCalls(server) - callsBefore) / CHANGES),
  };
}

/** Time from acceptance at the proposer until another daemon has the change. */
async function benchLag(daemon: Daemon, other: Daemon) {
  const histogram: Histogram = build();
  const controller = new AbortController();
  const task = other.log.follow(controller.signal);
  const first = daemon.replica.get(ObjectKind.Policy, "std")?.version ?? 0;
  while (other.replica.sequence < daemon.replica.sequence) await sleep(1);
  for (let i = 0; i < LAG_CHANGES; i++) {
    await proposeAccepted(daemon, patchProposal(`lag${i}`, first + i));
    const start = performance.now();
    while (other.replica.sequence < daemon.replica.sequence) await sleep(1);
    histogram.recordValue(Math.ceil(performance.now() - start));
    await sleep(LAG_PAUSE_MS);
  }
  controller.abort();
  await task;
  return {
    lagMsP50: histogram.getValueAtPercentile(50),
    lagMsMax: histogram.maxValue,
  };
}

/** Time and store calls per change; two proposers write distinct objects. */
async function benchRace(server: StoreServer, daemons: Daemon[]) {
  const callsBefore = storeCalls(server);
  const start = performance.now();
  const count = CHANGES / 5;
  await Promise.all(daemons.map(async (daemon, at) => {
    for (let i = 0; i < count; i++) {
      const name = `race-${at}-${i}`;
      await proposeAccepted(
        daemon,
        createProposal(name, ObjectKind.Policy, { name }),
      );
    }
  }));
  const accepted = count * daemons.length;
  return {
    msPerChange: round((performance.now() - start) / accepted),
    callsPerChange: round((storeCalls(server) - callsBefore) / accepted),
  };
}

/** Store calls to write a snapshot and archive one segment. */
async function benchUpkeep(server: StoreServer, store: ObjectStore) {
  const replica = createConfigReplica();
  const log = createChangeLog({
    store,
    replica,
    office: "co-op",
    compactionPauseMs: 0,
  });
  const daemon = { replica, log };
  await proposeAccepted(
    daemon,
    createProposal("u0", ObjectKind.Policy, { name: "std" }),
  );
  for (let i = 1; i < UPKEEP_CHANGES; i++) {
    await proposeAccepted(daemon, patchProposal(`u${i}`, i));
  }
  const before = server.counts();
  await log.maintain(neverAborted);
  const after = server.counts();
  return {
    writesPerArchivedChange: (after.writes - before.writes) / SEGMENT_CHANGES,
    reads: after.reads - before.reads,
  };
}

/** Heap in use after a garbage collection, in bytes. */
function liveHeapBytes(): number {
  setFlagsFromString("--expose-gc");
  const collect: () => void = runInNewContext("gc");
  collect();
  return process.memoryUsage().heapUsed;
}

/** Start of a daemon from the store, with the planned number of customers. */
async function benchStart(store: ObjectStore) {
  const heapBefore = liveHeapBytes();
  const filledReplica = createConfigReplica();
  const start = performance.now();
  for (let i = 1; i <= CUSTOMERS; i++) {
    const object = {
      name: `customer-${i}`,
      keySha256: [i.toString(16).padStart(64, "0")],
    };
    const req = createProposal(`c${i}`, ObjectKind.Customer, object);
    const time = new Date().toISOString();
    filledReplica.apply({ ...req, sequence: i, office: "bench", time });
  }
  const applyUs = (performance.now() - start) * 1_000 / CUSTOMERS;
  const replicaBytes = liveHeapBytes() - heapBefore;
  const writer = createChangeLog({
    store,
    replica: filledReplica,
    office: "bench",
  });
  await writer.maintain(neverAborted);
  const fresh = createDaemon(store, "bench");
  const readStart = performance.now();
  await fresh.log.catchUp(neverAborted);
  invariant(
    fresh.replica.sequence === CUSTOMERS,
    "the started replica does not have every change",
  );
  return {
    applyUs: round(applyUs),
    replicaBytes,
    snapshotBytes: JSON.stringify(filledReplica.snapshot()).length,
    startMs: round(performance.now() - readStart),
  };
}

async function withServer<T>(
  work: (server: StoreServer, store: ObjectStore) => Promise<T>,
): Promise<T> {
  const server = await createStoreServer();
  const store = createHttpStore({ baseUrl: server.url });
  try {
    return await work(server, store);
  } finally {
    await store.close();
    await server.close();
  }
}

/** Runs the bench and prints one line of JSON. */
export async function main(): Promise<number> {
  const figures = await withServer(async (server, store) => {
    const daemons = [
      createDaemon(store, "co-op"),
      createDaemon(store, "turret"),
    ] as const;
    const propose = await benchPropose(server, daemons[0]);
    const lag = await benchLag(daemons[0], daemons[1]);
    const race = await benchRace(server, [...daemons]);
    return { propose, lag, race };
  });
  const upkeep = await withServer(benchUpkeep);
  const start = await withServer((_, store) => benchStart(store));
  const line = { bench: "config-log", ...figures, upkeep, start };
  console.log(JSON.stringify(line));
  return 0;
}
