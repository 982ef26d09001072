/**
 * One run of the relay bench with a given number of daemons. Heads share one
 * worker process and all others share two, so that the processor time of the
 * two parts is measured apart.
 */
import {
  FOLLOWERS_PER_HEAD,
  MIN_HEADS_PER_ZONE,
} from "@sassafrascleat/membership";
import { setMaxListeners } from "node:events";
import { rankCandidates, sleep } from "@sassafrascleat/runtime";
import { createStoreServer, type StoreServer } from "@sassafrascleat/testing";
import { quantile } from "../measure/fit.ts";
import { ChangeSource, type Proposed } from "./change_source.ts";
import type { DaemonPlace, WorkerSample } from "./messages.ts";
import { WorkerLink } from "./worker_link.ts";

const OFFICES = 2;
const ZONES_PER_OFFICE = 3;
/** Worker processes that share the daemons that are not heads. */
export const FOLLOWER_WORKERS = 2;
const START_LIMIT_MS = 20_000;
const SETTLE_MS = 4_000;

/** What a run does. */
export interface RunOptions {
  daemons: number;
  changes: number;
  /** Time between two changes, in milliseconds. */
  changeIntervalMs: number;
  /** Time without changes that is measured, in milliseconds. */
  idleMs: number;
}

/** Costs of one daemon of one part. */
export interface PartCost {
  daemons: number;
  idleCpuMsPerS: number;
  cpuMsPerChange: number;
  idleBytesPerS: number;
  bytesPerChange: number;
  /** Resident memory of the worker process, shared by its daemons. */
  processRssMb: number;
}

/** What one run measured. */
export interface RunFigures {
  daemons: number;
  /** Time until a change was in force at a daemon, over daemons and changes. */
  inForceMs: { p50: number; p99: number; max: number };
  /** Time until a change was in force at every daemon, over changes. */
  everywhereMs: { p50: number; max: number };
  missing: number;
  head: PartCost;
  follower: PartCost;
  store: {
    /** Reads of all daemons from their start until they are at rest. */
    startReads: number;
    idleReadsPerS: number;
    idleWritesPerS: number;
    readsPerChange: number;
    writesPerChange: number;
  };
}

function placesOf(count: number): DaemonPlace[] {
  const zones = OFFICES * ZONES_PER_OFFICE;
  return Array.from({ length: count }, (_, index) => {
    const zone = index % zones;
    const office = `office-${zone % OFFICES}`;
    const availabilityZone = `zone-${Math.floor(zone / OFFICES)}`;
    const daemonId = `${office}-${availabilityZone}-d${index}`;
    return { daemonId, office, availabilityZone };
  });
}

/** The daemons that will be heads: the same ranks that the relay computes. */
function splitHeads(places: DaemonPlace[]): [DaemonPlace[], DaemonPlace[]] {
  const zones = new Map<string, DaemonPlace[]>();
  for (const place of places) {
    const key = `${place.office}/${place.availabilityZone}`;
    zones.set(key, [...(zones.get(key) ?? []), place]);
  }
  const heads = new Set(
    [...zones].flatMap(([key, zone]) => {
      const ranked = rankCandidates(key, zone, (place) => place.daemonId);
      const bySize = Math.ceil(zone.length / (1 + FOLLOWERS_PER_HEAD));
      return ranked.slice(0, Math.max(MIN_HEADS_PER_ZONE, bySize));
    }),
  );
  return [
    places.filter((place) => heads.has(place)),
    places.filter((place) => !heads.has(place)),
  ];
}

/** The counters of a part, added up over its workers. */
function addUp(samples: readonly WorkerSample[]): WorkerSample {
  const sum = (pick: (sample: WorkerSample) => number) =>
    samples.reduce((total, sample) => total + pick(sample), 0);
  return {
    cpuMs: sum((s) => s.cpuMs),
    rssBytes: sum((s) => s.rssBytes),
    heapBytes: sum((s) => s.heapBytes),
    peerBytes: sum((s) => s.peerBytes),
    storeBytes: sum((s) => s.storeBytes),
    servedBytes: sum((s) => s.servedBytes),
    daemons: sum((s) => s.daemons),
    heads: sum((s) => s.heads),
    minSequence: Math.min(...samples.map((s) => s.minSequence)),
    inForce: samples.flatMap((s) => s.inForce),
  };
}

interface FleetSample {
  atMs: number;
  head: WorkerSample;
  follower: WorkerSample;
  reads: number;
  writes: number;
}

/** The processes of one run. */
class Fleet {
  readonly #server: StoreServer;
  readonly #heads = new WorkerLink();
  readonly #followers = Array.from(
    { length: FOLLOWER_WORKERS },
    () => new WorkerLink(),
  );

  constructor(server: StoreServer) {
    this.#server = server;
  }

  async start(daemons: number): Promise<void> {
    const [heads, followers] = splitHeads(placesOf(daemons));
    const shares = this.#followers.map((_, worker) =>
      followers.filter((_, index) => index % FOLLOWER_WORKERS === worker)
    );
    const workers = [this.#heads, ...this.#followers];
    const places = [heads, ...shares];
    const peers = await Promise.all(
      workers.map((worker, index) =>
        worker.listen(this.#server.url, places[index]!)
      ),
    );
    await Promise.all(workers.map((worker) => worker.start(peers.flat())));
  }

  async sample(): Promise<FleetSample> {
    const head = await this.#heads.sample();
    const followers = await Promise.all(this.#followers.map((w) => w.sample()));
    const { reads, writes } = this.#server.counts();
    const follower = addUp(followers);
    return { atMs: performance.now(), head, follower, reads, writes };
  }

  /** Waits until every daemon has `sequence` in force. */
  async reach(sequence: number, signal: AbortSignal): Promise<FleetSample[]> {
    const samples: FleetSample[] = [];
    while (!signal.aborted) {
      const sample = await this.sample();
      samples.push(sample);
      const { head, follower } = sample;
      if (Math.min(head.minSequence, follower.minSequence) >= sequence) break;
      await sleep(100, signal);
    }
    return samples;
  }

  async stop(): Promise<void> {
    await Promise.all([this.#heads, ...this.#followers].map((w) => w.stop()));
  }
}

function costOf(
  part: "head" | "follower",
  idle: [FleetSample, FleetSample],
  busy: [FleetSample, FleetSample],
  changes: number,
): PartCost {
  const daemons = idle[0][part].daemons;
  const cpu = (sample: FleetSample) => sample[part].cpuMs;
  const bytes = (sample: FleetSample) =>
    sample[part].peerBytes + sample[part].storeBytes + sample[part].servedBytes;
  const idleS = (idle[1].atMs - idle[0].atMs) / 1_000;
  const busyS = (busy[1].atMs - busy[0].atMs) / 1_000;
  const rate = (pick: (sample: FleetSample) => number) =>
    (pick(idle[1]) - pick(idle[0])) / idleS;
  const perChange = (pick: (sample: FleetSample) => number) =>
    (pick(busy[1]) - pick(busy[0]) - rate(pick) * busyS) / changes;
  return {
    daemons,
    idleCpuMsPerS: rate(cpu) / daemons,
    cpuMsPerChange: perChange(cpu) / daemons,
    idleBytesPerS: rate(bytes) / daemons,
    bytesPerChange: perChange(bytes) / daemons,
    processRssMb: busy[1][part].rssBytes / 1e6 /
      (part === "head" ? 1 : FOLLOWER_WORKERS),
  };
}

function storeCost(
  idle: [FleetSample, FleetSample],
  busy: [FleetSample, FleetSample],
  changes: number,
): RunFigures["store"] {
  const idleS = (idle[1].atMs - idle[0].atMs) / 1_000;
  const busyS = (busy[1].atMs - busy[0].atMs) / 1_000;
  const idleReadsPerS = (idle[1].reads - idle[0].reads) / idleS;
  const idleWritesPerS = (idle[1].writes - idle[0].writes) / idleS;
  const reads = busy[1].reads - busy[0].reads - idleReadsPerS * busyS;
  const writes = busy[1].writes - busy[0].writes - idleWritesPerS * busyS;
  return {
    startReads: idle[0].reads,
    idleReadsPerS,
    idleWritesPerS,
    readsPerChange: reads / changes,
    writesPerChange: writes / changes,
  };
}

function delaysOf(proposed: readonly Proposed[], samples: FleetSample[]) {
  const proposedAt = new Map(proposed.map((p) => [p.sequence, p.atMs]));
  const delays: number[] = [];
  const slowest = new Map<number, number>();
  for (const { head, follower } of samples) {
    for (const { sequence, atMs } of [...head.inForce, ...follower.inForce]) {
      const begun = proposedAt.get(sequence);
      if (begun === undefined) continue;
      delays.push(atMs - begun);
      const known = slowest.get(sequence) ?? 0;
      slowest.set(sequence, Math.max(known, atMs - begun));
    }
  }
  return { delays, everywhere: [...slowest.values()] };
}

/** Runs the relay with `options.daemons` daemons and measures it. */
export async function runRelay(options: RunOptions): Promise<RunFigures> {
  const server = await createStoreServer();
  const fleet = new Fleet(server);
  try {
    const source = new ChangeSource(server.store);
    const limit = AbortSignal.timeout(START_LIMIT_MS);
    setMaxListeners(0, limit);
    const { sequence } = await source.propose(limit);
    await fleet.start(options.daemons);
    await fleet.reach(sequence, limit);
    await sleep(SETTLE_MS);
    return await measure(options, fleet, source);
  } finally {
    await fleet.stop();
    await server.close();
  }
}

async function measure(
  options: RunOptions,
  fleet: Fleet,
  source: ChangeSource,
): Promise<RunFigures> {
  const { changes, changeIntervalMs, daemons, idleMs } = options;
  const first = await fleet.sample();
  await sleep(idleMs);
  const second = await fleet.sample();
  const proposed: Proposed[] = [];
  const signal = AbortSignal.timeout(changes * changeIntervalMs + 10_000);
  setMaxListeners(0, signal);
  for (let index = 0; index < changes; index++) {
    proposed.push(await source.propose(signal));
    await sleep(changeIntervalMs);
  }
  const last = proposed.at(-1)?.sequence ?? 0;
  const samples = await fleet.reach(last, signal);
  const third = samples.at(-1)!;
  const { delays, everywhere } = delaysOf(proposed, samples);
  const idle: [FleetSample, FleetSample] = [first, second];
  const busy: [FleetSample, FleetSample] = [second, third];
  return {
    daemons,
    inForceMs: {
      p50: quantile(delays, 0.5),
      p99: quantile(delays, 0.99),
      max: Math.max(...delays),
    },
    everywhereMs: {
      p50: quantile(everywhere, 0.5),
      max: Math.max(...everywhere),
    },
    missing: daemons * changes - delays.length,
    head: costOf("head", idle, busy, changes),
    follower: costOf("follower", idle, busy, changes),
    store: storeCost(idle, busy, changes),
  };
}
