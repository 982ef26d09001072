/**
 * Runs the relay bench with a given number of daemons. Heads share one worker
 * process and followers share two, so that the CPU time of the two roles is
 * measured separately.
 */
import {
  FOLLOWERS_PER_HEAD,
  MIN_HEADS_PER_ZONE,
} from "@sassafrascleat/membership";
import { setMaxListeners } from "node:events";
import { rankCandidates, sleep } from "@sassafrascleat/runtime";
import { createStoreServer, type StoreServer } from "@sassafrascleat/testing";
import { quantile } from "../measure/fit.ts";
import { ChangeProposer, type ProposedChange } from "./change_proposer.ts";
import type { DaemonIdentity, WorkerSample } from "./messages.ts";
import { WorkerClient } from "./worker_client.ts";

const OFFICES = 2;
const ZONES_PER_OFFICE = 3;
/** Number of worker processes for the daemons that are not heads. */
export const FOLLOWER_WORKERS = 2;
const START_TIMEOUT_MS = 20_000;
const SETTLE_MS = 4_000;

/** Options of a run. */
export interface RunOptions {
  daemons: number;
  changes: number;
  /** Time between two changes, in milliseconds. */
  changeIntervalMs: number;
  /** Duration of the measurement without changes, in milliseconds. */
  idleMs: number;
}

/** Average cost of one daemon, for all heads or all followers. */
export interface RoleCost {
  daemons: number;
  idleCpuMsPerS: number;
  cpuMsPerChange: number;
  idleBytesPerS: number;
  bytesPerChange: number;
  /** Resident memory of a worker process, which its daemons share. */
  processRssMb: number;
}

/** Results of one run. */
export interface RelayRunResult {
  daemons: number;
  /**
   * Time from a proposal until one daemon applied it, over daemons and changes.
   */
  inForceMs: { p50: number; p99: number; max: number };
  /** Time from a proposal until every daemon applied it, over changes. */
  everywhereMs: { p50: number; max: number };
  /** Expected applications of a change that were not observed. */
  missing: number;
  head: RoleCost;
  follower: RoleCost;
  store: {
    /** Reads of all daemons from their start until the measurement begins. */
    startReads: number;
    idleReadsPerS: number;
    idleWritesPerS: number;
    readsPerChange: number;
    writesPerChange: number;
  };
}

function createIdentities(count: number): DaemonIdentity[] {
  const zones = OFFICES * ZONES_PER_OFFICE;
  return Array.from({ length: count }, (_, index) => {
    const zone = index % zones;
    const office = `office-${zone % OFFICES}`;
    const availabilityZone = `zone-${Math.floor(zone / OFFICES)}`;
    const daemonId = `${office}-${availabilityZone}-d${index}`;
    return { daemonId, office, availabilityZone };
  });
}

/**
 * Splits the daemons into heads and followers by the same ranking that the relay
 * uses to elect heads.
 */
function partitionHeads(
  identities: DaemonIdentity[],
): [DaemonIdentity[], DaemonIdentity[]] {
  const zones = new Map<string, DaemonIdentity[]>();
  for (const identity of identities) {
    const key = `${identity.office}/${identity.availabilityZone}`;
    zones.set(key, [...(zones.get(key) ?? []), identity]);
  }
  const heads = new Set(
    [...zones].flatMap(([key, zone]) => {
      const ranked = rankCandidates(key, zone, (identity) => identity.daemonId);
      const headsBySize = Math.ceil(zone.length / (1 + FOLLOWERS_PER_HEAD));
      return ranked.slice(0, Math.max(MIN_HEADS_PER_ZONE, headsBySize));
    }),
  );
  return [
    identities.filter((identity) => heads.has(identity)),
    identities.filter((identity) => !heads.has(identity)),
  ];
}

/** Sums the counters of several workers. */
function sumSamples(samples: readonly WorkerSample[]): WorkerSample {
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

/** The store and the worker processes of one run. */
class Fleet {
  readonly #server: StoreServer;
  readonly #heads = new WorkerClient();
  readonly #followers = Array.from(
    { length: FOLLOWER_WORKERS },
    () => new WorkerClient(),
  );

  constructor(server: StoreServer) {
    this.#server = server;
  }

  async start(daemons: number): Promise<void> {
    const [heads, followers] = partitionHeads(createIdentities(daemons));
    const shares = this.#followers.map((_, worker) =>
      followers.filter((_, index) => index % FOLLOWER_WORKERS === worker)
    );
    const workers = [this.#heads, ...this.#followers];
    const identities = [heads, ...shares];
    const peers = await Promise.all(
      workers.map((worker, index) =>
        worker.listen(this.#server.url, identities[index]!)
      ),
    );
    await Promise.all(workers.map((worker) => worker.start(peers.flat())));
  }

  async sample(): Promise<FleetSample> {
    const head = await this.#heads.sample();
    const followers = await Promise.all(this.#followers.map((w) => w.sample()));
    const { reads, writes } = this.#server.counts();
    const follower = sumSamples(followers);
    return { atMs: performance.now(), head, follower, reads, writes };
  }

  /** Samples until every daemon has applied `sequence`; returns all samples. */
  async waitForSequence(
    sequence: number,
    signal: AbortSignal,
  ): Promise<FleetSample[]> {
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

function roleCost(
  role: "head" | "follower",
  idle: [FleetSample, FleetSample],
  busy: [FleetSample, FleetSample],
  changes: number,
): RoleCost {
  const daemons = idle[0][role].daemons;
  const cpu = (sample: FleetSample) => sample[role].cpuMs;
  const bytes = (sample: FleetSample) =>
    sample[role].peerBytes + sample[role].storeBytes + sample[role].servedBytes;
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
    processRssMb: busy[1][role].rssBytes / 1e6 /
      (role === "head" ? 1 : FOLLOWER_WORKERS),
  };
}

function storeCost(
  idle: [FleetSample, FleetSample],
  busy: [FleetSample, FleetSample],
  changes: number,
): RelayRunResult["store"] {
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

function propagationDelays(
  proposed: readonly ProposedChange[],
  samples: FleetSample[],
) {
  const proposedAt = new Map(proposed.map((p) => [p.sequence, p.proposedAtMs]));
  const delays: number[] = [];
  const slowest = new Map<number, number>();
  for (const { head, follower } of samples) {
    for (const { sequence, atMs } of [...head.inForce, ...follower.inForce]) {
      const proposedAtMs = proposedAt.get(sequence);
      if (proposedAtMs === undefined) continue;
      delays.push(atMs - proposedAtMs);
      const slowestMs = slowest.get(sequence) ?? 0;
      slowest.set(sequence, Math.max(slowestMs, atMs - proposedAtMs));
    }
  }
  return { delays, everywhere: [...slowest.values()] };
}

/** Runs the relay with `options.daemons` daemons and measures its costs. */
export async function runRelay(options: RunOptions): Promise<RelayRunResult> {
  const server = await createStoreServer();
  const fleet = new Fleet(server);
  try {
    const proposer = new ChangeProposer(server.store);
    const startTimeout = AbortSignal.timeout(START_TIMEOUT_MS);
    setMaxListeners(0, startTimeout);
    const { sequence } = await proposer.propose(startTimeout);
    await fleet.start(options.daemons);
    await fleet.waitForSequence(sequence, startTimeout);
    await sleep(SETTLE_MS);
    return await measure(options, fleet, proposer);
  } finally {
    await fleet.stop();
    await server.close();
  }
}

async function measure(
  options: RunOptions,
  fleet: Fleet,
  proposer: ChangeProposer,
): Promise<RelayRunResult> {
  const { changes, changeIntervalMs, daemons, idleMs } = options;
  const first = await fleet.sample();
  await sleep(idleMs);
  const second = await fleet.sample();
  const proposed: ProposedChange[] = [];
  const signal = AbortSignal.timeout(changes * changeIntervalMs + 10_000);
  setMaxListeners(0, signal);
  for (let index = 0; index < changes; index++) {
    proposed.push(await proposer.propose(signal));
    await sleep(changeIntervalMs);
  }
  const last = proposed.at(-1)?.sequence ?? 0;
  const samples = await fleet.waitForSequence(last, signal);
  const third = samples.at(-1)!;
  const { delays, everywhere } = propagationDelays(proposed, samples);
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
    head: roleCost("head", idle, busy, changes),
    follower: roleCost("follower", idle, busy, changes),
    store: storeCost(idle, busy, changes),
  };
}
