/**
 * Points in the lifecycle of a model request at which a fault is injected. If a
 * state is too short-lived to hit, the next step is blocked until the fault has
 * been injected.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { ProxyMode } from "@sassafrascleat/testing";
import { type Rig } from "../rig/index.ts";
import { until } from "../until.ts";

/** Point at which a fault is injected. */
export enum InjectionPoint {
  BeforeDispatch = "before dispatch",
  DecodeReserved = "decode reserved",
  InPrefill = "in prefill",
  InTransfer = "in transfer",
  BeforeFirstToken = "before the first token",
  MidStream = "in mid-stream",
  LastToken = "at the last token",
  AfterAnswer = "after the answer",
}

/** Progress of a request, as its caller observes it. */
export interface CallProgress {
  chunks: number;
  over: boolean;
}

/** Number of chunks after which a stream counts as mid-stream. */
const MID_STREAM_CHUNKS = 5;

function engineStats(rig: Rig, role: BackendRole) {
  return rig.byRole(role).flatMap(({ engine }) => engine?.stats() ?? []);
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

/** Engine counters at the start of a case; they accumulate over all cases. */
export interface Baseline {
  decodesStarted: number;
  decodesEnded: number;
}

/** Reads the counters that are later compared to detect an injection point. */
export function takeBaseline(rig: Rig): Baseline {
  const stats = engineStats(rig, BackendRole.Decode);
  return {
    decodesStarted: sum(stats, (engine) => engine.decodesStarted),
    decodesEnded: sum(stats, (engine) => engine.decodesEnded),
  };
}

/** Blocks the step after `point`; called before the request is sent. */
export function blockNextStep(rig: Rig, point: InjectionPoint): void {
  if (point === InjectionPoint.DecodeReserved) {
    for (const { proxy } of rig.byRole(BackendRole.Prefill)) {
      proxy.setMode(ProxyMode.Stall);
    }
  }
  if (point === InjectionPoint.InTransfer) stallTransfers(rig, true);
}

/** Unblocks the step that `blockNextStep` blocked. */
export function unblockNextStep(rig: Rig, point: InjectionPoint): void {
  if (point === InjectionPoint.DecodeReserved) {
    for (const { proxy } of rig.byRole(BackendRole.Prefill)) {
      proxy.setMode(ProxyMode.Pass);
    }
  }
  if (point === InjectionPoint.InTransfer) stallTransfers(rig, false);
}

function stallTransfers(rig: Rig, stalled: boolean): void {
  for (const { engine } of rig.byRole(BackendRole.Decode)) {
    engine?.setFaults({ stallTransfers: stalled });
  }
}

async function isReached(
  rig: Rig,
  point: InjectionPoint,
  before: Baseline,
  call: CallProgress,
): Promise<boolean> {
  const decode = engineStats(rig, BackendRole.Decode);
  switch (point) {
    case InjectionPoint.BeforeDispatch:
      return true;
    case InjectionPoint.DecodeReserved:
      return await rig.isReserved(BackendRole.Decode);
    case InjectionPoint.InPrefill:
      return engineStats(rig, BackendRole.Prefill)
        .some((engine) => engine.heldIds.length > 0);
    case InjectionPoint.InTransfer:
      return decode.some((engine) => engine.heldIds.length > 0);
    case InjectionPoint.BeforeFirstToken:
      return sum(decode, (engine) => engine.decodesStarted) >
        before.decodesStarted;
    case InjectionPoint.MidStream:
      return call.chunks >= MID_STREAM_CHUNKS;
    case InjectionPoint.LastToken:
      return sum(decode, (engine) => engine.decodesEnded) > before.decodesEnded;
    case InjectionPoint.AfterAnswer:
      return call.over;
  }
}

/**
 * Waits for the injection point; returns false if the request ended before it.
 */
export async function waitForInjectionPoint(
  rig: Rig,
  point: InjectionPoint,
  before: Baseline,
  call: CallProgress,
): Promise<boolean> {
  let reached = false;
  await until(async () => {
    reached ||= await isReached(rig, point, before, call);
    return reached || call.over;
  });
  return reached;
}
