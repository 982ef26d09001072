/** Injects every fault at every point of a call that must not run twice. */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { type Rig, startRig } from "../../rig/index.ts";
import { PLAIN_FAULTS } from "../faults.ts";
import { runPlainCase, runRacingCase } from "../plain_case.ts";
import { PlainInjectionPoint } from "../plain_injection_points.ts";

const START_TIMEOUT_MS = 60_000;

let rig: Rig;

beforeAll(async () => {
  rig = await startRig();
}, START_TIMEOUT_MS);

afterAll(() => rig.close(), START_TIMEOUT_MS);

describe.each(PLAIN_FAULTS)("%s", (fault) => {
  test.each(Object.values(PlainInjectionPoint))("%s", async (point) => {
    const report = await runPlainCase(rig, point, [fault]);
    expect(report).toMatchObject({ problems: [], injectionPointReached: true });
  });

  test("while two entries race with the same idempotency key", async () => {
    const report = await runRacingCase(rig, [fault]);
    expect(report.problems).toEqual([]);
  });
});
