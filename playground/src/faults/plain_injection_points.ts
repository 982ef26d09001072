/** Injection points in a call with an idempotency key to a plain service. */
import { BackendRole } from "@sassafrascleat/protocol";
import { StoreStatus } from "@sassafrascleat/store";
import { type Rig } from "../rig/index.ts";
import { until } from "../until.ts";

/** Point at which a fault is injected into a call with an idempotency key. */
export enum PlainInjectionPoint {
  BeforeDispatch = "before dispatch",
  /** A concurrency slot is reserved; the claim has not taken effect. */
  BeforeClaim = "before the claim",
  /** The claim has taken effect; the call has not been sent. */
  AfterClaim = "after the claim",
  Executing = "while executing",
  AfterAnswer = "after the answer",
}

/** Delay of a step, in milliseconds. */
const STEP_DELAY_MS = 400;

/** State before the call, used to detect what the call has changed. */
export interface PlainBaseline {
  claimRevision: number;
  executionCount: number;
}

/** Counts all executions of plain calls. */
export function totalExecutions(rig: Rig): number {
  return rig.byRole(BackendRole.Plain)
    .reduce((total, { plain }) => total + (plain?.stats().total ?? 0), 0);
}

/** Counts executions of the call with this body. */
export function executionsOf(rig: Rig, body: string): number {
  return rig.byRole(BackendRole.Plain).reduce(
    (total, { plain }) => total + (plain?.stats().executionsByBody[body] ?? 0),
    0,
  );
}

async function claimRevision(rig: Rig): Promise<number> {
  const listed = await rig.store.store.list({ prefix: "claims/" });
  if (listed.status !== StoreStatus.Ok) return 0;
  return listed.objects.reduce((total, object) => total + object.version, 0);
}

export async function takePlainBaseline(rig: Rig): Promise<PlainBaseline> {
  return {
    claimRevision: await claimRevision(rig),
    executionCount: totalExecutions(rig),
  };
}

/** Delays the step after `point`, to leave time for the fault injection. */
export function delayPlainStep(rig: Rig, point: PlainInjectionPoint): void {
  if (point === PlainInjectionPoint.BeforeClaim) {
    rig.store.setFaults({ delayMs: STEP_DELAY_MS });
  }
  if (point === PlainInjectionPoint.AfterClaim) {
    rig.store.setFaults({ answerDelayMs: STEP_DELAY_MS });
  }
  setPlainDelay(
    rig,
    point === PlainInjectionPoint.Executing ? STEP_DELAY_MS : 0,
  );
}

/** Resets the delays of `delayPlainStep`. */
export function resetPlainDelays(rig: Rig): void {
  rig.store.setFaults({ delayMs: 0, answerDelayMs: 0 });
  setPlainDelay(rig, 0);
}

function setPlainDelay(rig: Rig, delayMs: number): void {
  for (const { plain } of rig.byRole(BackendRole.Plain)) {
    plain?.setDelay(delayMs);
  }
}

async function isReached(
  rig: Rig,
  point: PlainInjectionPoint,
  before: PlainBaseline,
  isOver: () => boolean,
): Promise<boolean> {
  switch (point) {
    case PlainInjectionPoint.BeforeDispatch:
      return true;
    case PlainInjectionPoint.BeforeClaim:
      return await rig.isReserved(BackendRole.Plain);
    case PlainInjectionPoint.AfterClaim:
      return await claimRevision(rig) > before.claimRevision;
    case PlainInjectionPoint.Executing:
      return totalExecutions(rig) > before.executionCount;
    case PlainInjectionPoint.AfterAnswer:
      return isOver();
  }
}

/** Waits for the injection point; returns false if the call ended before it. */
export async function waitForPlainInjectionPoint(
  rig: Rig,
  point: PlainInjectionPoint,
  before: PlainBaseline,
  isOver: () => boolean,
): Promise<boolean> {
  let reached = false;
  await until(async () => {
    reached ||= await isReached(rig, point, before, isOver);
    return reached || isOver();
  });
  return reached;
}
