/** Faults of the fault-injection tests: how to inject and heal each one. */
import { BackendRole, SIDECAR_RPC_PATH } from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import {
  NO_FAULTS,
  PlainFault,
  ProxyMode,
  StoreMode,
} from "@sassafrascleat/testing";
import type { Rig, RigBackend } from "../rig/index.ts";

/** Faults that can be injected. */
export enum Fault {
  KillEntry = "entry killed",
  PauseEntry = "entry paused beyond grace",
  KillDecodeSidecar = "decode sidecar killed",
  PauseDecodeSidecar = "decode sidecar paused",
  KillPrefillSidecar = "prefill sidecar killed",
  DecodeEngineDies = "decode engine dies",
  SilenceLinks = "links silent for good",
  ResetLinks = "links reset",
  StallDecodeLink = "decode link stalls",
  CallerCancels = "caller cancels",
  DecodeLeaves = "decode engine leaves",
  StoreOutage = "store outage",
  KillPlainSidecar = "plain sidecar killed",
  PausePlainSidecar = "plain sidecar paused",
  PlainLeaves = "plain backend server leaves",
  LosePlainAnswer = "plain service's answer lost",
  LoseStoreAnswer = "store's answer lost",
  HangStoreAnswer = "store's answer never comes",
}

/** Faults that are injected into model requests. */
export const MODEL_FAULTS = [
  Fault.KillEntry,
  Fault.PauseEntry,
  Fault.KillDecodeSidecar,
  Fault.PauseDecodeSidecar,
  Fault.KillPrefillSidecar,
  Fault.DecodeEngineDies,
  Fault.SilenceLinks,
  Fault.ResetLinks,
  Fault.StallDecodeLink,
  Fault.CallerCancels,
  Fault.DecodeLeaves,
  Fault.StoreOutage,
];

/** Faults that are injected into calls to plain services. */
export const PLAIN_FAULTS = [
  Fault.KillEntry,
  Fault.PauseEntry,
  Fault.KillPlainSidecar,
  Fault.PausePlainSidecar,
  Fault.PlainLeaves,
  Fault.LosePlainAnswer,
  Fault.SilenceLinks,
  Fault.ResetLinks,
  Fault.CallerCancels,
  Fault.LoseStoreAnswer,
  Fault.HangStoreAnswer,
  Fault.StoreOutage,
];

/** Pause of an entry, in milliseconds; longer than the renewal timeout. */
const ENTRY_PAUSE_MS = 3_000;

/** Pause of a sidecar, in milliseconds; shorter than a request's timeout. */
const SIDECAR_PAUSE_MS = 1_500;

/** Duration of a link stall, in milliseconds. */
const LINK_STALL_MS = 1_000;

/** Context in which a fault is injected. */
export interface FaultContext {
  rig: Rig;
  /** Aborts the caller's request. */
  caller: AbortController;
}

/**
 * Returns a backend server of a role: the first whose engine holds memory, else
 * the first of all.
 */
function busyEngine(rig: Rig, role: BackendRole): RigBackend | undefined {
  const backends = rig.byRole(role);
  const busy = backends.find(({ engine }) =>
    (engine?.stats().heldIds.length ?? 0) > 0
  );
  return busy ?? backends[0];
}

/**
 * Returns a plain backend server: the first whose sidecar has a call in
 * progress or a reservation, else the first of all.
 */
async function busyPlain(rig: Rig): Promise<RigBackend | undefined> {
  const backends = rig.byRole(BackendRole.Plain);
  for (const backend of backends) {
    const status = await rig.sidecarStatus(backend);
    if (status && status.hint.running + status.hint.reserved > 0) {
      return backend;
    }
  }
  return backends[0];
}

async function setLeaving(rig: Rig, backend: RigBackend, leaving: boolean) {
  const address = backend.process.addresses.system ?? "";
  await fetch(`${address}${SIDECAR_RPC_PATH}/drain`, {
    method: "POST",
    headers: rig.systemHeaders(),
    body: JSON.stringify({ leaving }),
  });
}

async function pauseFor(
  process: { pause(): void; resume(): void },
  ms: number,
): Promise<void> {
  process.pause();
  await sleep(ms);
  process.resume();
}

/**
 * Injects the fault; resolves once it has taken effect or, for a pause or a
 * stall, ended.
 */
export async function injectFault(
  fault: Fault,
  ctx: FaultContext,
): Promise<void> {
  const { rig, caller } = ctx;
  const decode = busyEngine(rig, BackendRole.Decode);
  switch (fault) {
    case Fault.KillEntry:
      return await rig.entries[0].process.kill();
    case Fault.PauseEntry:
      return await pauseFor(rig.entries[0].process, ENTRY_PAUSE_MS);
    case Fault.KillDecodeSidecar:
      return await decode?.process.kill();
    case Fault.PauseDecodeSidecar:
      return decode && await pauseFor(decode.process, SIDECAR_PAUSE_MS);
    case Fault.KillPrefillSidecar:
      return await busyEngine(rig, BackendRole.Prefill)?.process.kill();
    case Fault.DecodeEngineDies:
      return decode?.engine?.setFaults({ dead: true });
    case Fault.SilenceLinks:
      return rig.backends.forEach(({ proxy }) =>
        proxy.blackholeOpenConnections()
      );
    case Fault.ResetLinks:
      return rig.backends.forEach(({ proxy }) => proxy.resetAll());
    case Fault.StallDecodeLink:
      decode?.proxy.setMode(ProxyMode.Stall);
      await sleep(LINK_STALL_MS);
      return decode?.proxy.setMode(ProxyMode.Pass);
    case Fault.CallerCancels:
      return caller.abort();
    case Fault.DecodeLeaves:
      return decode && await setLeaving(rig, decode, true);
    case Fault.StoreOutage:
      return rig.store.setFaults({ mode: StoreMode.Refuse });
    case Fault.LoseStoreAnswer:
      return rig.store.setFaults({ loseAnswers: 1 });
    case Fault.HangStoreAnswer:
      return rig.store.setFaults({ hangAnswers: 1 });
    default:
      return await injectPlainFault(fault, rig);
  }
}

/** Injects the fault into the plain backend server that handles the call. */
async function injectPlainFault(fault: Fault, rig: Rig): Promise<void> {
  const backend = await busyPlain(rig);
  if (!backend) return;
  switch (fault) {
    case Fault.KillPlainSidecar:
      return await backend.process.kill();
    case Fault.PausePlainSidecar:
      return await pauseFor(backend.process, SIDECAR_PAUSE_MS);
    case Fault.PlainLeaves:
      return await setLeaving(rig, backend, true);
    case Fault.LosePlainAnswer:
      return backend.plain?.setFault(PlainFault.AfterExecuting);
    default:
      return;
  }
}

/** Clears every fault and restarts killed processes. */
export async function heal(rig: Rig): Promise<void> {
  rig.store.setFaults(NO_FAULTS);
  for (const backend of rig.backends) {
    backend.proxy.setMode(ProxyMode.Pass);
    backend.engine?.setFaults({ dead: false, stallTransfers: false });
    backend.plain?.setFault(PlainFault.None);
    if (!backend.process.running) await backend.restart();
    await setLeaving(rig, backend, false);
  }
  for (const entry of rig.entries) {
    if (!entry.process.running) await entry.restart();
  }
  await rig.ready();
}
