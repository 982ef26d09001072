/** Two faults together, at moments where each alone is handled differently. */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { type Rig, startRig } from "../../rig/index.ts";
import { Fault } from "../faults.ts";
import { runModelCase } from "../model_case.ts";
import { Moment } from "../moments.ts";
import { runPlainCase } from "../plain_case.ts";
import { PlainMoment } from "../plain_moments.ts";

const START_LIMIT_MS = 60_000;

let rig: Rig;

beforeAll(async () => {
  rig = await startRig();
}, START_LIMIT_MS);

afterAll(() => rig.close(), START_LIMIT_MS);

const MODEL_PAIRS: [Fault, Fault][] = [
  [Fault.KillDecodeSidecar, Fault.StoreOutage],
  [Fault.KillDecodeSidecar, Fault.KillPrefillSidecar],
  [Fault.SilenceLinks, Fault.KillPrefillSidecar],
  [Fault.ResetLinks, Fault.DecodeLeaves],
  [Fault.PauseDecodeSidecar, Fault.SilenceLinks],
  [Fault.DecodeEngineDies, Fault.ResetLinks],
  [Fault.CallerCancels, Fault.SilenceLinks],
  [Fault.CallerCancels, Fault.KillEntry],
  [Fault.PauseEntry, Fault.KillDecodeSidecar],
];

const MODEL_MOMENTS = [Moment.InPrefill, Moment.InTransfer, Moment.MidStream];

describe.each(MODEL_PAIRS)("model request: %s and %s", (first, second) => {
  test.each(MODEL_MOMENTS)("%s", async (moment) => {
    const report = await runModelCase(rig, moment, [first, second]);
    expect(report).toMatchObject({ problems: [], struck: true });
  });
});

const PLAIN_PAIRS: [Fault, Fault][] = [
  [Fault.KillEntry, Fault.KillPlainSidecar],
  [Fault.KillEntry, Fault.LoseStoreAnswer],
  [Fault.PauseEntry, Fault.SilenceLinks],
  [Fault.PauseEntry, Fault.StoreOutage],
  [Fault.LosePlainAnswer, Fault.ResetLinks],
  [Fault.HangStoreAnswer, Fault.PlainLeaves],
  [Fault.PausePlainSidecar, Fault.CallerCancels],
];

const PLAIN_MOMENTS = [
  PlainMoment.BeforeClaim,
  PlainMoment.AfterClaim,
  PlainMoment.Executing,
];

describe.each(PLAIN_PAIRS)("keyed call: %s and %s", (first, second) => {
  test.each(PLAIN_MOMENTS)("%s", async (moment) => {
    const report = await runPlainCase(rig, moment, [first, second]);
    expect(report).toMatchObject({ problems: [], struck: true });
  });
});
