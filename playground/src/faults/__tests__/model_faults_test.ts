/** Every fault at every moment of a model request, with real processes. */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { type Rig, startRig } from "../../rig/index.ts";
import { MODEL_FAULTS } from "../faults.ts";
import { runModelCase } from "../model_case.ts";
import { Moment } from "../moments.ts";

const START_LIMIT_MS = 60_000;

let rig: Rig;

beforeAll(async () => {
  rig = await startRig();
}, START_LIMIT_MS);

afterAll(() => rig.close(), START_LIMIT_MS);

describe.each(MODEL_FAULTS)("%s", (fault) => {
  test.each(Object.values(Moment))("%s", async (moment) => {
    const report = await runModelCase(rig, moment, [fault]);
    expect(report.problems).toEqual([]);
    expect(report.struck).toBe(true);
  });
});
