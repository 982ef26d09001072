/** Tests of how a lane reports a run that it can't judge. */
import { expect, test } from "@jest/globals";
import { runLane } from "../lane.ts";
import { Mutation } from "../mutations.ts";

const { signal } = new AbortController();

// Any error in a run was reported as a violated guarantee.
test.each([undefined, Mutation.SkipTombstone])(
  "a deployment that doesn't start under %s is no violated guarantee",
  async (mutation) => {
    let runs = 0;
    const report = await runLane(
      { seed: 1, lane: 0, runs: 12, mutation },
      signal,
      () => runs += 1,
      () => Promise.reject(new Error("the deployment did not start")),
    );
    expect(report.failure).toBeUndefined();
    expect(report.error).toMatch("the deployment did not start");
    expect(runs).toBe(1);
  },
);
