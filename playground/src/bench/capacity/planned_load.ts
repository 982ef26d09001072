/** Extrapolates measured costs to the load of each role at the planned size. */
import {
  FOLLOWERS_PER_HEAD,
  PULL_WAIT_MS,
  SUBSET_SIZE,
} from "@sassafrascleat/membership";
import {
  IDEMPOTENCY_KEY_RETENTION_MS,
  RENEW_INTERVAL_MS,
} from "@sassafrascleat/protocol";
import type { Line } from "../measure/fit.ts";
import type { RelayCostFits } from "../relay/main.ts";
import type { RelayRunResult } from "../relay/run.ts";
import type { ImportMemory, ImportSet } from "./import_memory.ts";
import {
  ASSUMPTIONS,
  CHANGES_PER_S,
  DAEMON_BUDGET,
  PLAN,
  STORE_LIMIT,
} from "./plan.ts";
import type { RequestPathCost } from "./request_path.ts";
import type { ControlState } from "./state_probe.ts";

/** All measurements of one run. */
export interface Measurements {
  relayRuns: RelayRunResult[];
  relay: RelayCostFits;
  imports: ImportMemory[];
  state: ControlState;
  requestPath: RequestPathCost;
}

/** Load of one role; all figures but `processes` are per process. */
export interface RoleLoad {
  role: string;
  processes: number;
  requestCpuMsPerS: number;
  controlCpuMsPerS: number;
  controlBytesPerS: number;
  memoryMb: number;
}

/** One source of calls to the store. */
export interface StoreLoad {
  source: string;
  readsPerS: number;
  writesPerS: number;
}

const evaluateLine = (line: Line, x: number) => line.intercept + line.slope * x;

const DAEMONS_PER_ZONE = PLAN.entries / PLAN.zones;

/** Number of relay heads in one availability zone at the planned size. */
export const RELAY_HEADS_PER_ZONE = Math.ceil(
  DAEMONS_PER_ZONE / (1 + FOLLOWERS_PER_HEAD),
);

/** Number of relay heads in all availability zones. */
export const RELAY_HEADS = RELAY_HEADS_PER_ZONE * PLAN.zones;

const FOLLOWERS_OF_RELAY_HEAD = DAEMONS_PER_ZONE / RELAY_HEADS_PER_ZONE - 1;

/** Reads of the host list by one entry, per second. */
const HOST_READS_PER_S = 1;

/** Mean interval between a daemon's reads of its zone's presence, in seconds. */
const PRESENCE_READ_INTERVAL_S = 30;

/** Reads of the host list during one start of a daemon. */
const HOST_READS_PER_START = 1;

/** Period over which daemons that start together come up, in seconds. */
const STARTUP_SPREAD_S = 2;

/** Maximum rate at which a relay head writes its presence object, per second. */
const PRESENCE_WRITES_PER_S = 1;

function importRssMb(measured: Measurements, set: ImportSet): number {
  return measured.imports.find((item) => item.set === set)?.rssMb ?? NaN;
}

function followerCpuMsPerS(measured: Measurements): number {
  const { followerCpuMsPerChange, followerIdleCpuMsPerS } = measured.relay;
  return followerIdleCpuMsPerS.slope +
    CHANGES_PER_S * followerCpuMsPerChange.slope;
}

function followerBytesPerS(measured: Measurements): number {
  const largest = measured.relayRuns.at(-1)!.follower;
  return largest.idleBytesPerS + CHANGES_PER_S * largest.bytesPerChange;
}

function headCpuMsPerS({ relay }: Measurements): number {
  const change = evaluateLine(
    relay.headCpuMsPerChange,
    FOLLOWERS_OF_RELAY_HEAD,
  );
  return evaluateLine(relay.headIdleCpuMsPerS, FOLLOWERS_OF_RELAY_HEAD) +
    CHANGES_PER_S * change;
}

function headBytesPerS({ relay }: Measurements): number {
  const change = evaluateLine(
    relay.headBytesPerChange,
    FOLLOWERS_OF_RELAY_HEAD,
  );
  return evaluateLine(relay.headIdleBytesPerS, FOLLOWERS_OF_RELAY_HEAD) +
    CHANGES_PER_S * change;
}

function controlStateMb({ state }: Measurements): number {
  return state.replicaHeapMb + state.keptChangesHeapMb + state.hostsHeapMb;
}

/** Loads of the daemons at the planned size. */
export function roleLoads(measured: Measurements): RoleLoad[] {
  const { entry, prefill, decode } = measured.requestPath;
  const { state } = measured;
  const requests = PLAN.requestsPerS / PLAN.entries;
  const tokens = PLAN.tokensPerS / PLAN.entries;
  const prefills = PLAN.engines * ASSUMPTIONS.prefillShare;
  const decodes = PLAN.engines - prefills;
  const hostCpu = HOST_READS_PER_S * state.hostListMs;
  const hostBytes = HOST_READS_PER_S * state.hostListBytes;
  const entryRequestCpu = requests * entry.cpuMsPerRequest +
    tokens * entry.cpuUsPerToken / 1_000 +
    requests * ASSUMPTIONS.promptKtokens * entry.cpuMsPerPromptKtoken;
  const entryMb = entry.idleRssMb + controlStateMb(measured);
  return [
    {
      role: "entry",
      processes: PLAN.entries - RELAY_HEADS,
      requestCpuMsPerS: entryRequestCpu,
      controlCpuMsPerS: followerCpuMsPerS(measured) + hostCpu,
      controlBytesPerS: followerBytesPerS(measured) + hostBytes,
      memoryMb: entryMb,
    },
    {
      role: "entry that is a relay head",
      processes: RELAY_HEADS,
      requestCpuMsPerS: entryRequestCpu,
      controlCpuMsPerS: headCpuMsPerS(measured) + hostCpu,
      controlBytesPerS: headBytesPerS(measured) + hostBytes,
      memoryMb: entryMb,
    },
    {
      role: "sidecar, prefill",
      processes: Math.round(prefills),
      requestCpuMsPerS: PLAN.requestsPerS / prefills * prefill.cpuMsPerRequest,
      controlCpuMsPerS: prefill.idleCpuMsPerS,
      controlBytesPerS: 0,
      memoryMb: prefill.rssMb,
    },
    {
      role: "sidecar, decode",
      processes: Math.round(decodes),
      requestCpuMsPerS: PLAN.requestsPerS / decodes * decode.cpuMsPerRequest +
        PLAN.tokensPerS / decodes * decode.cpuUsPerToken / 1_000,
      controlCpuMsPerS: decode.idleCpuMsPerS,
      controlBytesPerS: 0,
      memoryMb: decode.rssMb,
    },
  ];
}

/** Control-plane load of the relay alone, without reads of the host list. */
export function relayLoads(measured: Measurements): RoleLoad[] {
  const memoryMb = importRssMb(measured, "relay") -
    importRssMb(measured, "nothing") + controlStateMb(measured);
  const common = { requestCpuMsPerS: 0, memoryMb };
  return [
    {
      ...common,
      role: "relay follower",
      processes: PLAN.entries - RELAY_HEADS,
      controlCpuMsPerS: followerCpuMsPerS(measured),
      controlBytesPerS: followerBytesPerS(measured),
    },
    {
      ...common,
      role: "relay head",
      processes: RELAY_HEADS,
      controlCpuMsPerS: headCpuMsPerS(measured),
      controlBytesPerS: headBytesPerS(measured),
    },
  ];
}

/** Cost of renewing running requests, at one process. */
export interface RenewalLoad {
  role: string;
  callsPerS: number;
  cpuMsPerS: number;
  bytesPerS: number;
}

/**
 * Cost of request renewals at the planned size. A renewal is not measured
 * itself: its client and server costs are taken from one long poll of the
 * relay, which uses the same transport.
 */
export function renewalLoads(
  { relay, relayRuns }: Measurements,
): RenewalLoad[] {
  const pollsPerS = 1_000 / PULL_WAIT_MS;
  const serverMs = relay.headIdleCpuMsPerS.slope / pollsPerS;
  const clientMs = relay.followerIdleCpuMsPerS.slope / pollsPerS;
  const bytes = relayRuns.at(-1)!.follower.idleBytesPerS / pollsPerS;
  const sidecars = SUBSET_SIZE * ASSUMPTIONS.decodePools;
  const streams = PLAN.tokensPerS * ASSUMPTIONS.tokenGapS / PLAN.entries;
  const busySidecars = sidecars * (1 - Math.exp(-streams / sidecars));
  const entryCalls = busySidecars * 1_000 / RENEW_INTERVAL_MS;
  const decodes = PLAN.engines * (1 - ASSUMPTIONS.prefillShare);
  const sidecarCalls = entryCalls * PLAN.entries / decodes;
  return [
    {
      role: "entry",
      callsPerS: entryCalls,
      cpuMsPerS: entryCalls * clientMs,
      bytesPerS: entryCalls * bytes,
    },
    {
      role: "sidecar, decode",
      callsPerS: sidecarCalls,
      cpuMsPerS: sidecarCalls * serverMs,
      bytesPerS: sidecarCalls * bytes,
    },
  ];
}

/** Store calls at the planned size, in normal operation and in call storms. */
export function storeLoads(measured: Measurements): StoreLoad[] {
  const largest = measured.relayRuns.at(-1)!;
  const readsPerHead = largest.store.readsPerChange / largest.head.daemons;
  const idlePerHead = largest.store.idleReadsPerS / largest.head.daemons;
  const readsPerStart = HOST_READS_PER_START +
    largest.store.startReads / largest.daemons;
  const keyed = PLAN.requestsPerS * ASSUMPTIONS.keyedShare;
  const presenceWrites = Math.min(CHANGES_PER_S, PRESENCE_WRITES_PER_S) *
    largest.store.writesPerChange / largest.head.daemons * RELAY_HEADS;
  return [
    {
      source: "watches of the relay heads",
      readsPerS: idlePerHead * RELAY_HEADS,
      writesPerS: 0,
    },
    {
      source: "changes, read by the heads",
      readsPerS: readsPerHead * RELAY_HEADS * CHANGES_PER_S,
      writesPerS: 0,
    },
    {
      source: "changes, proposed",
      readsPerS: 2 * CHANGES_PER_S,
      writesPerS: CHANGES_PER_S,
    },
    {
      source: "presence and status",
      readsPerS: PLAN.entries / PRESENCE_READ_INTERVAL_S,
      writesPerS: presenceWrites + RELAY_HEADS / 10,
    },
    {
      source: "host list, read by every entry",
      readsPerS: PLAN.entries * HOST_READS_PER_S,
      writesPerS: 0,
    },
    {
      source: "claims of keyed calls, worst case one write each",
      readsPerS: keyed,
      writesPerS: keyed,
    },
    {
      source: "daemons replaced on a day",
      readsPerS: readsPerStart * PLAN.daemonsReplacedPerDay / 86_400,
      writesPerS: 0,
    },
    {
      source: "storm: a zone's daemons start at once",
      readsPerS: readsPerStart * DAEMONS_PER_ZONE / STARTUP_SPREAD_S,
      writesPerS: RELAY_HEADS_PER_ZONE,
    },
    {
      source: "storm: every daemon starts at once",
      readsPerS: readsPerStart * PLAN.entries / STARTUP_SPREAD_S,
      writesPerS: RELAY_HEADS,
    },
    {
      source: "storm: store out (heads try every 3 s, others every 30 s)",
      readsPerS: RELAY_HEADS / 3 + PLAN.entries / 30,
      writesPerS: RELAY_HEADS / 10,
    },
  ];
}

/** What one day of claims costs an entry in memory and in startup reads. */
export interface ClaimHistoryCost {
  fingerprintMb: number;
  startReadMb: number;
  /** Keyed calls per second whose fingerprints fill the entry's memory budget. */
  keysPerSAtMemoryLimit: number;
}

/**
 * Works out what the claims of one day (`IDEMPOTENCY_KEY_RETENTION_MS`) cost each entry.
 * Every entry holds the fingerprint of every claimed key.
 */
export function claimHistoryCost(
  keysPerS: number,
  fingerprintBytes: number,
): ClaimHistoryCost {
  const claimRetentionS = IDEMPOTENCY_KEY_RETENTION_MS / 1_000;
  const claims = keysPerS * claimRetentionS;
  return {
    fingerprintMb: claims * fingerprintBytes / 1e6,
    startReadMb: claims * ASSUMPTIONS.claimBytes / 1e6,
    keysPerSAtMemoryLimit: DAEMON_BUDGET.memoryMb * 1e6 / fingerprintBytes /
      claimRetentionS,
  };
}

/** Number of daemons at which relay heads use a quarter of the read limit. */
export function daemonsAtReadLimit(measured: Measurements): number {
  const loads = storeLoads(measured);
  const perDaemon = (loads[0]!.readsPerS + loads[1]!.readsPerS) /
    PLAN.entries;
  return STORE_LIMIT.readsPerS / 4 / perDaemon;
}
