/** Works out the load of each role at the planned size from measured slopes. */
import {
  FOLLOWERS_PER_HEAD,
  PULL_WAIT_MS,
  SUBSET_SIZE,
} from "@sassafrascleat/membership";
import {
  CLAIM_RETENTION_MS,
  RENEW_INTERVAL_MS,
} from "@sassafrascleat/protocol";
import type { Line } from "../measure/fit.ts";
import type { RelaySlopes } from "../relay/main.ts";
import type { RunFigures } from "../relay/run.ts";
import type { ImportMemory, ImportSet } from "./import_memory.ts";
import { ASSUMED, BUDGET, CHANGES_PER_S, PLAN, STORE_LIMIT } from "./plan.ts";
import type { RequestPathCost } from "./request_path.ts";
import type { ControlState } from "./state_probe.ts";

/** Everything that one run of the bench measured. */
export interface Measured {
  relayRuns: RunFigures[];
  relay: RelaySlopes;
  imports: ImportMemory[];
  state: ControlState;
  requestPath: RequestPathCost;
}

/** Load of one role: per process unless it says otherwise. */
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

const at = (line: Line, x: number) => line.intercept + line.slope * x;

const DAEMONS_PER_ZONE = PLAN.entries / PLAN.zones;

/** Relay heads of one availability zone at the planned size. */
export const HEADS_PER_PLAN_ZONE = Math.ceil(
  DAEMONS_PER_ZONE / (1 + FOLLOWERS_PER_HEAD),
);

/** Relay heads in all. */
export const PLAN_HEADS = HEADS_PER_PLAN_ZONE * PLAN.zones;

const FOLLOWERS_OF_HEAD = DAEMONS_PER_ZONE / HEADS_PER_PLAN_ZONE - 1;

/** Entry processes that read the host list once a second. */
const HOST_READS_PER_S = 1;

/** Mean interval at which a daemon reads the presence of its zone, in seconds. */
const PRESENCE_READ_S = 30;

/** Readings of the host list that belong to a start. */
const HOST_READS_PER_START = 1;

/** Time over which the processes of one start come up, in seconds. */
const START_S = 2;

/** Writes of one head's presence object, in a second at most. */
const PRESENCE_WRITES_PER_S = 1;

function importMb(measured: Measured, set: ImportSet): number {
  return measured.imports.find((item) => item.set === set)?.rssMb ?? NaN;
}

function followerCpu(measured: Measured): number {
  const { followerCpuMsPerChange, followerIdleCpuMsPerS } = measured.relay;
  return followerIdleCpuMsPerS.slope +
    CHANGES_PER_S * followerCpuMsPerChange.slope;
}

function followerBytes(measured: Measured): number {
  const largest = measured.relayRuns.at(-1)!.follower;
  return largest.idleBytesPerS + CHANGES_PER_S * largest.bytesPerChange;
}

function headCpu({ relay }: Measured): number {
  const change = at(relay.headCpuMsPerChange, FOLLOWERS_OF_HEAD);
  return at(relay.headIdleCpuMsPerS, FOLLOWERS_OF_HEAD) +
    CHANGES_PER_S * change;
}

function headBytes({ relay }: Measured): number {
  const change = at(relay.headBytesPerChange, FOLLOWERS_OF_HEAD);
  return at(relay.headIdleBytesPerS, FOLLOWERS_OF_HEAD) +
    CHANGES_PER_S * change;
}

function stateMb({ state }: Measured): number {
  return state.replicaHeapMb + state.keptChangesHeapMb + state.hostsHeapMb;
}

/** Loads of the daemons at the planned size. */
export function roleLoads(measured: Measured): RoleLoad[] {
  const { entry, prefill, decode } = measured.requestPath;
  const { state } = measured;
  const requests = PLAN.requestsPerS / PLAN.entries;
  const tokens = PLAN.tokensPerS / PLAN.entries;
  const prefills = PLAN.engines * ASSUMED.prefillShare;
  const decodes = PLAN.engines - prefills;
  const hostCpu = HOST_READS_PER_S * state.hostListMs;
  const hostBytes = HOST_READS_PER_S * state.hostListBytes;
  const entryRequestCpu = requests * entry.cpuMsPerRequest +
    tokens * entry.cpuUsPerToken / 1_000 +
    requests * ASSUMED.promptKtokens * entry.cpuMsPerPromptKtoken;
  const entryMb = entry.idleRssMb + stateMb(measured);
  return [
    {
      role: "entry",
      processes: PLAN.entries - PLAN_HEADS,
      requestCpuMsPerS: entryRequestCpu,
      controlCpuMsPerS: followerCpu(measured) + hostCpu,
      controlBytesPerS: followerBytes(measured) + hostBytes,
      memoryMb: entryMb,
    },
    {
      role: "entry that is a relay head",
      processes: PLAN_HEADS,
      requestCpuMsPerS: entryRequestCpu,
      controlCpuMsPerS: headCpu(measured) + hostCpu,
      controlBytesPerS: headBytes(measured) + hostBytes,
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

/** The control load of an entry without its reading of the host list. */
export function relayOnly(measured: Measured): RoleLoad[] {
  const memoryMb = importMb(measured, "relay") -
    importMb(measured, "nothing") + stateMb(measured);
  const common = { requestCpuMsPerS: 0, memoryMb };
  return [
    {
      ...common,
      role: "relay follower",
      processes: PLAN.entries - PLAN_HEADS,
      controlCpuMsPerS: followerCpu(measured),
      controlBytesPerS: followerBytes(measured),
    },
    {
      ...common,
      role: "relay head",
      processes: PLAN_HEADS,
      controlCpuMsPerS: headCpu(measured),
      controlBytesPerS: headBytes(measured),
    },
  ];
}

/** Renewals of running requests at one process. */
export interface RenewLoad {
  role: string;
  callsPerS: number;
  cpuMsPerS: number;
  bytesPerS: number;
}

/**
 * Renewals at the planned size. One call costs what one long poll of the relay
 * costs its two ends, which travels the same way.
 */
export function renewLoads({ relay, relayRuns }: Measured): RenewLoad[] {
  const pollsPerS = 1_000 / PULL_WAIT_MS;
  const serverMs = relay.headIdleCpuMsPerS.slope / pollsPerS;
  const clientMs = relay.followerIdleCpuMsPerS.slope / pollsPerS;
  const bytes = relayRuns.at(-1)!.follower.idleBytesPerS / pollsPerS;
  const sidecars = SUBSET_SIZE * ASSUMED.decodePools;
  const streams = PLAN.tokensPerS * ASSUMED.tokenGapS / PLAN.entries;
  const busySidecars = sidecars * (1 - Math.exp(-streams / sidecars));
  const entryCalls = busySidecars * 1_000 / RENEW_INTERVAL_MS;
  const decodes = PLAN.engines * (1 - ASSUMED.prefillShare);
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

/** Calls to the store at the planned size, and in the storms that are known. */
export function storeLoads(measured: Measured): StoreLoad[] {
  const largest = measured.relayRuns.at(-1)!;
  const readsPerHead = largest.store.readsPerChange / largest.head.daemons;
  const idlePerHead = largest.store.idleReadsPerS / largest.head.daemons;
  const readsPerStart = HOST_READS_PER_START +
    largest.store.startReads / largest.daemons;
  const keyed = PLAN.requestsPerS * ASSUMED.keyedShare;
  const presenceWrites = Math.min(CHANGES_PER_S, PRESENCE_WRITES_PER_S) *
    largest.store.writesPerChange / largest.head.daemons * PLAN_HEADS;
  return [
    {
      source: "watches of the relay heads",
      readsPerS: idlePerHead * PLAN_HEADS,
      writesPerS: 0,
    },
    {
      source: "changes, read by the heads",
      readsPerS: readsPerHead * PLAN_HEADS * CHANGES_PER_S,
      writesPerS: 0,
    },
    {
      source: "changes, proposed",
      readsPerS: 2 * CHANGES_PER_S,
      writesPerS: CHANGES_PER_S,
    },
    {
      source: "presence and status",
      readsPerS: PLAN.entries / PRESENCE_READ_S,
      writesPerS: presenceWrites + PLAN_HEADS / 10,
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
      readsPerS: readsPerStart * PLAN.replacedPerDay / 86_400,
      writesPerS: 0,
    },
    {
      source: "storm: a zone's daemons start at once",
      readsPerS: readsPerStart * DAEMONS_PER_ZONE / START_S,
      writesPerS: HEADS_PER_PLAN_ZONE,
    },
    {
      source: "storm: every daemon starts at once",
      readsPerS: readsPerStart * PLAN.entries / START_S,
      writesPerS: PLAN_HEADS,
    },
    {
      source: "storm: store out (heads try every 3 s, others every 30 s)",
      readsPerS: PLAN_HEADS / 3 + PLAN.entries / 30,
      writesPerS: PLAN_HEADS / 10,
    },
  ];
}

/** Bytes that an entry keeps and reads at its start for a day of claims. */
export interface ClaimHistory {
  fingerprintMb: number;
  startReadMb: number;
  /** Keyed calls in a second whose fingerprints fill an entry's whole memory. */
  keysPerSAtMemoryLimit: number;
}

/** What the claims of a day cost each entry, since each knows every key. */
export function claimHistory(
  keysPerS: number,
  fingerprintBytes: number,
): ClaimHistory {
  const claimRetentionS = CLAIM_RETENTION_MS / 1_000;
  const claims = keysPerS * claimRetentionS;
  return {
    fingerprintMb: claims * fingerprintBytes / 1e6,
    startReadMb: claims * ASSUMED.claimBytes / 1e6,
    keysPerSAtMemoryLimit: BUDGET.memoryMb * 1e6 / fingerprintBytes /
      claimRetentionS,
  };
}

/** Daemons at which the reads of the relay heads reach a quarter of the store. */
export function daemonsAtReadLimit(measured: Measured): number {
  const loads = storeLoads(measured);
  const perDaemon = (loads[0]!.readsPerS + loads[1]!.readsPerS) /
    PLAN.entries;
  return STORE_LIMIT.readsPerS / 4 / perDaemon;
}
