/**
 * Bench of the configuration log over the stand-in store on loopback: cost of
 * a proposal, lag of another daemon, races, and a start at the goal size. The
 * stand-in runs in this process, so that its processor time is included.
 */
import {
  ChangeAction,
  type ChangeLog,
  createChangeLog,
  createConfigReplica,
  createOperations,
  type MemoryReplica,
  ObjectKind,
  ProposeKind,
  type ProposeRequest,
} from "@sassafrascleat/config";
import { invariant, sleep } from "@sassafrascleat/runtime";
import { createHttpStore, type ObjectStore } from "@sassafrascleat/store";
import { createStoreServer, type StoreServer } from "@sassafrascleat/testing";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { build, type Histogram } from "hdr-histogram-js";

/** Changes of each measurement. */
const CHANGES = 500;

/** Changes whose way to another daemon is timed. */
const LAG_CHANGES = 60;

/** Changes before the upkeep that is measured; one segment is archived. */
const UPKEEP_CHANGES = 1_700;

/** Changes of one archive segment. */
const SEGMENT_CHANGES = 500;

/** Customers at the goal size. */
const CUSTOMERS = 5_600;

/** Pause between two timed changes, in milliseconds. */
const LAG_PAUSE_MS = 150;

const forever = new AbortController().signal;

interface Daemon {
  replica: MemoryReplica;
  log: ChangeLog;
}

function open(store: ObjectStore, office: string): Daemon {
  const replica = createConfigReplica();
  return { replica, log: createChangeLog({ store, replica, office }) };
}

function proposal(
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
    operations: createOperations(object),
  };
}

function patch(patchId: string, baseVersion: number): ProposeRequest {
  const value = (baseVersion % 16) + 1;
  return {
    ...proposal(patchId, ObjectKind.Policy, { name: "std" }),
    action: ChangeAction.Patch,
    baseVersion,
    operations: [{ op: "replace", path: "/maxAttempts", value }],
  };
}

async function accept(daemon: Daemon, req: ProposeRequest): Promise<void> {
  const outcome = await daemon.log.propose(req, forever);
  invariant(outcome.kind === ProposeKind.Accepted, `got ${outcome.kind}`);
}

function calls(server: StoreServer): number {
  const { reads, writes } = server.counts();
  return reads + writes;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** One proposer: time and store calls of one accepted change. */
async function benchPropose(server: StoreServer, daemon: Daemon) {
  await accept(daemon, proposal("p0", ObjectKind.Policy, { name: "std" }));
  const callsBefore = calls(server);
  const start = performance.now();
  for (let i = 1; i <= CHANGES; i++) await accept(daemon, patch(`p${i}`, i));
  return {
    msPerChange: round((performance.now() - start) / CHANGES),
    callsPerChange: round((calls(server) - callsBefore) / CHANGES),
  };
}

/** Time from the proposer's answer until another daemon has it in force. */
async function benchLag(daemon: Daemon, other: Daemon) {
  const histogram: Histogram = build();
  const controller = new AbortController();
  const task = other.log.follow(controller.signal);
  const first = daemon.replica.get(ObjectKind.Policy, "std")?.version ?? 0;
  while (other.replica.sequence < daemon.replica.sequence) await sleep(1);
  for (let i = 0; i < LAG_CHANGES; i++) {
    await accept(daemon, patch(`lag${i}`, first + i));
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

/** Two proposers at once, each on an object of its own. */
async function benchRace(server: StoreServer, daemons: Daemon[]) {
  const callsBefore = calls(server);
  const start = performance.now();
  const count = CHANGES / 5;
  await Promise.all(daemons.map(async (daemon, at) => {
    for (let i = 0; i < count; i++) {
      const name = `race-${at}-${i}`;
      await accept(daemon, proposal(name, ObjectKind.Policy, { name }));
    }
  }));
  const accepted = count * daemons.length;
  return {
    msPerChange: round((performance.now() - start) / accepted),
    callsPerChange: round((calls(server) - callsBefore) / accepted),
  };
}

/** Store calls of a snapshot and the archiving of one segment. */
async function benchUpkeep(server: StoreServer, store: ObjectStore) {
  const replica = createConfigReplica();
  const log = createChangeLog({
    store,
    replica,
    office: "co-op",
    compactionPauseMs: 0,
  });
  const daemon = { replica, log };
  await accept(daemon, proposal("u0", ObjectKind.Policy, { name: "std" }));
  for (let i = 1; i < UPKEEP_CHANGES; i++) {
    await accept(daemon, patch(`u${i}`, i));
  }
  const before = server.counts();
  await log.maintain(forever);
  const after = server.counts();
  return {
    writesPerArchivedChange: (after.writes - before.writes) / SEGMENT_CHANGES,
    reads: after.reads - before.reads,
  };
}

/** Bytes of live objects in the heap. */
function liveHeapBytes(): number {
  setFlagsFromString("--expose-gc");
  const collect: () => void = runInNewContext("gc");
  collect();
  return process.memoryUsage().heapUsed;
}

/** A start from the store with the goal's number of customers. */
async function benchStart(store: ObjectStore) {
  const heapBefore = liveHeapBytes();
  const filler = createConfigReplica();
  const start = performance.now();
  for (let i = 1; i <= CUSTOMERS; i++) {
    const object = {
      name: `customer-${i}`,
      keySha256: [i.toString(16).padStart(64, "0")],
    };
    const req = proposal(`c${i}`, ObjectKind.Customer, object);
    const time = new Date().toISOString();
    filler.apply({ ...req, sequence: i, office: "bench", time });
  }
  const applyUs = (performance.now() - start) * 1_000 / CUSTOMERS;
  const replicaBytes = liveHeapBytes() - heapBefore;
  const writer = createChangeLog({ store, replica: filler, office: "bench" });
  await writer.maintain(forever);
  const fresh = open(store, "bench");
  const readStart = performance.now();
  await fresh.log.catchUp(forever);
  invariant(fresh.replica.sequence === CUSTOMERS, "the start is not whole");
  return {
    applyUs: round(applyUs),
    replicaBytes,
    snapshotBytes: JSON.stringify(filler.snapshot()).length,
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
    const daemons = [open(store, "co-op"), open(store, "turret")] as const;
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
