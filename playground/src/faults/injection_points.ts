/**
 * Moments in the life of a model request at which a fault strikes. Where a
 * moment is too short to hit, the next step is held back until the fault is in.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import { ProxyMode } from "@sassafrascleat/testing";
import { type Rig } from "../rig/index.ts";
import { until } from "../until.ts";

/** When a fault strikes. */
export enum Moment {
  BeforeDispatch = "before dispatch",
  DecodeReserved = "decode reserved",
  InPrefill = "in prefill",
  InTransfer = "in transfer",
  BeforeFirstToken = "before the first token",
  MidStream = "in mid-stream",
  LastToken = "at the last token",
  AfterAnswer = "after the answer",
}

/** A request in progress, as the table sees it. */
export interface CallProgress {
  chunks: number;
  over: boolean;
}

/** Chunks that a caller has read in mid-stream. */
const MID_STREAM_CHUNKS = 5;

function engineBooks(rig: Rig, role: BackendRole) {
  return rig.byRole(role).flatMap(({ engine }) => engine?.books() ?? []);
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

/** Counts at the start of a case, since books grow over all cases. */
export interface Baseline {
  decodesStarted: number;
  decodesEnded: number;
}

/** Reads the counts that moments are compared with. */
export function takeBaseline(rig: Rig): Baseline {
  const books = engineBooks(rig, BackendRole.Decode);
  return {
    decodesStarted: sum(books, (book) => book.decodesStarted),
    decodesEnded: sum(books, (book) => book.decodesEnded),
  };
}

/** Holds back the step after `moment`, before the request is sent. */
export function holdNextStep(rig: Rig, moment: Moment): void {
  if (moment === Moment.DecodeReserved) {
    for (const { proxy } of rig.byRole(BackendRole.Prefill)) {
      proxy.setMode(ProxyMode.Stall);
    }
  }
  if (moment === Moment.InTransfer) stallTransfers(rig, true);
}

/** Lets the step go on that was held back. */
export function releaseNextStep(rig: Rig, moment: Moment): void {
  if (moment === Moment.DecodeReserved) {
    for (const { proxy } of rig.byRole(BackendRole.Prefill)) {
      proxy.setMode(ProxyMode.Pass);
    }
  }
  if (moment === Moment.InTransfer) stallTransfers(rig, false);
}

function stallTransfers(rig: Rig, stalled: boolean): void {
  for (const { engine } of rig.byRole(BackendRole.Decode)) {
    engine?.setFaults({ stallTransfers: stalled });
  }
}

async function holds(
  rig: Rig,
  moment: Moment,
  before: Baseline,
  call: CallProgress,
): Promise<boolean> {
  const decode = engineBooks(rig, BackendRole.Decode);
  switch (moment) {
    case Moment.BeforeDispatch:
      return true;
    case Moment.DecodeReserved:
      return await rig.isReserved(BackendRole.Decode);
    case Moment.InPrefill:
      return engineBooks(rig, BackendRole.Prefill)
        .some((book) => book.heldIds.length > 0);
    case Moment.InTransfer:
      return decode.some((book) => book.heldIds.length > 0);
    case Moment.BeforeFirstToken:
      return sum(decode, (book) => book.decodesStarted) > before.decodesStarted;
    case Moment.MidStream:
      return call.chunks >= MID_STREAM_CHUNKS;
    case Moment.LastToken:
      return sum(decode, (book) => book.decodesEnded) > before.decodesEnded;
    case Moment.AfterAnswer:
      return call.over;
  }
}

/** Waits for the moment; false when the request was over before it came. */
export async function waitForMoment(
  rig: Rig,
  moment: Moment,
  before: Baseline,
  call: CallProgress,
): Promise<boolean> {
  let reached = false;
  await until(async () => {
    reached ||= await holds(rig, moment, before, call);
    return reached || call.over;
  });
  return reached;
}
