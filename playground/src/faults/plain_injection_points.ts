/** Moments in the life of a keyed call to a plain service. */
import { BackendRole } from "@sassafrascleat/protocol";
import { StoreStatus } from "@sassafrascleat/store";
import { type Rig } from "../rig/index.ts";
import { until } from "../until.ts";

/** When a fault strikes a keyed call. */
export enum PlainMoment {
  BeforeDispatch = "before dispatch",
  /** A place is reserved; the claim has not taken effect. */
  BeforeClaim = "before the claim",
  /** The claim has taken effect; the call was not sent. */
  AfterClaim = "after the claim",
  Executing = "while executing",
  AfterAnswer = "after the answer",
}

/** Time for which a step is held back, in milliseconds. */
const HOLD_MS = 400;

/** State before the call, to tell what the call has changed. */
export interface PlainBaseline {
  claimRevision: number;
  executions: number;
}

/** All executions of plain calls. */
export function executions(rig: Rig): number {
  return rig.byRole(BackendRole.Plain)
    .reduce((total, { plain }) => total + (plain?.books().total ?? 0), 0);
}

/** Executions of the call with this body. */
export function executionsOf(rig: Rig, body: string): number {
  return rig.byRole(BackendRole.Plain).reduce(
    (total, { plain }) => total + (plain?.books().executionsByBody[body] ?? 0),
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
    executions: executions(rig),
  };
}

/** Holds back the step after the moment, so that a fault can hit it. */
export function holdPlainStep(rig: Rig, moment: PlainMoment): void {
  if (moment === PlainMoment.BeforeClaim) {
    rig.store.setFaults({ delayMs: HOLD_MS });
  }
  if (moment === PlainMoment.AfterClaim) {
    rig.store.setFaults({ answerDelayMs: HOLD_MS });
  }
  setPlainDelay(rig, moment === PlainMoment.Executing ? HOLD_MS : 0);
}

/** Lets the step go on that was held back. */
export function releasePlainStep(rig: Rig): void {
  rig.store.setFaults({ delayMs: 0, answerDelayMs: 0 });
  setPlainDelay(rig, 0);
}

function setPlainDelay(rig: Rig, delayMs: number): void {
  for (const { plain } of rig.byRole(BackendRole.Plain)) {
    plain?.setDelay(delayMs);
  }
}

async function holds(
  rig: Rig,
  moment: PlainMoment,
  before: PlainBaseline,
  isOver: () => boolean,
): Promise<boolean> {
  switch (moment) {
    case PlainMoment.BeforeDispatch:
      return true;
    case PlainMoment.BeforeClaim:
      return await rig.isReserved(BackendRole.Plain);
    case PlainMoment.AfterClaim:
      return await claimRevision(rig) > before.claimRevision;
    case PlainMoment.Executing:
      return executions(rig) > before.executions;
    case PlainMoment.AfterAnswer:
      return isOver();
  }
}

/** Waits for the moment; false when the call was over before it came. */
export async function waitForPlainMoment(
  rig: Rig,
  moment: PlainMoment,
  before: PlainBaseline,
  isOver: () => boolean,
): Promise<boolean> {
  let reached = false;
  await until(async () => {
    reached ||= await holds(rig, moment, before, isOver);
    return reached || isOver();
  });
  return reached;
}
