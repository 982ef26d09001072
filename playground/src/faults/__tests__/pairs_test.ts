/**
 * Injects two faults together, at points where each alone is handled
 * differently.
 */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { type Rig, startRig } from "../../rig/index.ts";
import { Fault } from "../faults.ts";
import { runModelCase } from "../model_case.ts";
import { InjectionPoint } from "../injection_points.ts";
import { runPlainCase } from "../plain_case.ts";
import { PlainInjectionPoint } from "../plain_injection_points.ts";

const START_TIMEOUT_MS = 60_000;

let rig: Rig;

beforeAll(async () => {
  rig = await startRig();
}, START_TIMEOUT_MS);

afterAll(() => rig.close(), START_TIMEOUT_MS);

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

const MODEL_INJECTION_POINTS = [
  InjectionPoint.InPrefill,
  InjectionPoint.InTransfer,
  InjectionPoint.MidStream,
];

describe.each(MODEL_PAIRS)("model request: %s and %s", (first, second) => {
  test.each(MODEL_INJECTION_POINTS)("%s", async (point) => {
    const report = await runModelCase(rig, point, [first, second]);
    expect(report).toMatchObject({ problems: [], injectionPointReached: true });
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

const PLAIN_INJECTION_POINTS = [
  PlainInjectionPoint.BeforeClaim,
  PlainInjectionPoint.AfterClaim,
  PlainInjectionPoint.Executing,
];

describe.each(PLAIN_PAIRS)(
  "call with an idempotency key: %s and %s",
  (first, second) => {
    test.each(PLAIN_INJECTION_POINTS)("%s", async (point) => {
      const report = await runPlainCase(rig, point, [first, second]);
      expect(report).toMatchObject({
        problems: [],
        injectionPointReached: true,
      });
    });
  },
);
