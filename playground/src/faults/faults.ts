/** Faults of the table: how each is brought about and healed. */
import { BackendRole, SIDECAR_RPC_PATH } from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import {
  NO_FAULTS,
  PlainFault,
  ProxyMode,
  StoreMode,
} from "@sassafrascleat/testing";
import type { Rig, RigBackend } from "../rig/index.ts";

/** What strikes. */
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

/** Faults that strike a model request. */
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

/** Faults that strike a call to a plain service. */
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

/** Pause of an entry, beyond the renewal grace, in milliseconds. */
const ENTRY_PAUSE_MS = 3_000;

/** Pause of a sidecar, within a request's patience, in milliseconds. */
const SIDECAR_PAUSE_MS = 1_500;

/** Stall of a link, in milliseconds. */
const LINK_STALL_MS = 1_000;

/** What a fault works on. */
export interface FaultContext {
  rig: Rig;
  /** The caller's abort. */
  caller: AbortController;
}

/** The first backend server of a role whose engine holds something, or the first. */
function busyEngine(rig: Rig, role: BackendRole): RigBackend | undefined {
  const backends = rig.byRole(role);
  const busy = backends.find(({ engine }) =>
    (engine?.books().heldIds.length ?? 0) > 0
  );
  return busy ?? backends[0];
}

/** The plain backend server whose sidecar has a call in progress, or the first. */
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

async function tellToLeave(rig: Rig, backend: RigBackend, leaving: boolean) {
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

/** Brings the fault about; resolves when it has struck. */
export async function strike(fault: Fault, ctx: FaultContext): Promise<void> {
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
      return rig.backends.forEach(({ proxy }) => proxy.silence());
    case Fault.ResetLinks:
      return rig.backends.forEach(({ proxy }) => proxy.resetAll());
    case Fault.StallDecodeLink:
      decode?.proxy.setMode(ProxyMode.Stall);
      await sleep(LINK_STALL_MS);
      return decode?.proxy.setMode(ProxyMode.Pass);
    case Fault.CallerCancels:
      return caller.abort();
    case Fault.DecodeLeaves:
      return decode && await tellToLeave(rig, decode, true);
    case Fault.StoreOutage:
      return rig.store.setFaults({ mode: StoreMode.Refuse });
    case Fault.LoseStoreAnswer:
      return rig.store.setFaults({ loseAnswers: 1 });
    case Fault.HangStoreAnswer:
      return rig.store.setFaults({ hangAnswers: 1 });
    default:
      return await strikePlain(fault, rig);
  }
}

/** Strikes the plain backend server that serves the call. */
async function strikePlain(fault: Fault, rig: Rig): Promise<void> {
  const backend = await busyPlain(rig);
  if (!backend) return;
  switch (fault) {
    case Fault.KillPlainSidecar:
      return await backend.process.kill();
    case Fault.PausePlainSidecar:
      return await pauseFor(backend.process, SIDECAR_PAUSE_MS);
    case Fault.PlainLeaves:
      return await tellToLeave(rig, backend, true);
    case Fault.LosePlainAnswer:
      return backend.plain?.setFault(PlainFault.AfterExecuting);
    default:
      return;
  }
}

/** Takes every fault back and restarts what was killed. */
export async function heal(rig: Rig): Promise<void> {
  rig.store.setFaults(NO_FAULTS);
  for (const backend of rig.backends) {
    backend.proxy.setMode(ProxyMode.Pass);
    backend.engine?.setFaults({ dead: false, stallTransfers: false });
    backend.plain?.setFault(PlainFault.None);
    if (!backend.process.running) await backend.restart();
    await tellToLeave(rig, backend, false);
  }
  for (const entry of rig.entries) {
    if (!entry.process.running) await entry.restart();
  }
  await rig.ready();
}
