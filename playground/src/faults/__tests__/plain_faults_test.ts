/** Every fault at every moment of a call that may not be repeated. */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { type Rig, startRig } from "../../rig/index.ts";
import { PLAIN_FAULTS } from "../faults.ts";
import { runPlainCase, runRacingCase } from "../plain_case.ts";
import { PlainMoment } from "../plain_moments.ts";

const START_LIMIT_MS = 60_000;

let rig: Rig;

beforeAll(async () => {
  rig = await startRig();
}, START_LIMIT_MS);

afterAll(() => rig.close(), START_LIMIT_MS);

describe.each(PLAIN_FAULTS)("%s", (fault) => {
  test.each(Object.values(PlainMoment))("%s", async (moment) => {
    const report = await runPlainCase(rig, moment, [fault]);
    expect(report).toMatchObject({ problems: [], struck: true });
  });

  test("while two entries race with one key", async () => {
    const report = await runRacingCase(rig, [fault]);
    expect(report.problems).toEqual([]);
  });
});
