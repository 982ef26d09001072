/**
 * Injects every fault at every point of a model request, with real processes.
 */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { type Rig, startRig } from "../../rig/index.ts";
import { MODEL_FAULTS } from "../faults.ts";
import { runModelCase } from "../model_case.ts";
import { InjectionPoint } from "../injection_points.ts";

const START_TIMEOUT_MS = 60_000;

let rig: Rig;

beforeAll(async () => {
  rig = await startRig();
}, START_TIMEOUT_MS);

afterAll(() => rig.close(), START_TIMEOUT_MS);

describe.each(MODEL_FAULTS)("%s", (fault) => {
  test.each(Object.values(InjectionPoint))("%s", async (point) => {
    const report = await runModelCase(rig, point, [fault]);
    expect(report.problems).toEqual([]);
    expect(report.injectionPointReached).toBe(true);
  });
});
