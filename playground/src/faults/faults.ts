/** Faults of the table: how each is brought about and healed. */
import { BackendRole, SIDECAR_RPC_PATH } from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import { ProxyMode, StoreMode } from "@sassafrascleat/testing";
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
}

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

/** The decode backend servers that hold something, or the first one. */
function busyDecode(rig: Rig): RigBackend[] {
  const decode = rig.byRole(BackendRole.Decode);
  const busy = decode.filter(({ engine }) =>
    (engine?.books().heldIds.length ?? 0) > 0
  );
  return busy.length > 0 ? busy : decode.slice(0, 1);
}

function busyPrefill(rig: Rig): RigBackend[] {
  const prefill = rig.byRole(BackendRole.Prefill);
  const busy = prefill.filter(({ engine }) =>
    (engine?.books().heldIds.length ?? 0) > 0
  );
  return busy.length > 0 ? busy : prefill.slice(0, 1);
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
  const decode = busyDecode(rig)[0];
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
      return await busyPrefill(rig)[0]?.process.kill();
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
  }
}

/** Takes every fault back and restarts what was killed. */
export async function heal(rig: Rig): Promise<void> {
  rig.store.setFaults({ mode: StoreMode.Serve });
  for (const backend of rig.backends) {
    backend.proxy.setMode(ProxyMode.Pass);
    backend.engine?.setFaults({ dead: false, stallTransfers: false });
    if (!backend.process.running) await backend.restart();
    await tellToLeave(rig, backend, false);
  }
  for (const entry of rig.entries) {
    if (!entry.process.running) await entry.restart();
  }
  await rig.ready();
}
