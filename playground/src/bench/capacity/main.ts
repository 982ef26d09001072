/**
 * `npm run bench -- capacity`: measures how the cost of each role grows with
 * load, extrapolates to the planned deployment size and prints the tables of
 * docs/CAPACITY.md, then one line of JSON with the measurements.
 */
import { roundToSignificantDigits } from "../measure/fit.ts";
import { fitRelayCosts, runRelayForSizes } from "../relay/main.ts";
import { measureImports } from "./import_memory.ts";
import { ASSUMPTIONS, PLAN } from "./plan.ts";
import { runProbe } from "./run_probe.ts";
import { measureRequestPath } from "./request_path.ts";
import type { ControlState } from "./state_probe.ts";
import { importTable, renewalTable, roleTable, storeTable } from "./tables.ts";
import {
  claimHistoryCost,
  daemonsAtReadLimit,
  type Measurements,
  relayLoads,
  renewalLoads,
  roleLoads,
  storeLoads,
} from "./planned_load.ts";
import {
  FINGERPRINT_BYTES,
  KEPT_CHANGES_SAMPLE,
  RELAY_SIZES,
} from "./sizes.ts";

const RELAY_CHANGES = 10;

async function measure(): Promise<Measurements> {
  const imports = await measureImports();
  const state = await runProbe<ControlState>({
    file: "./state_probe.js",
    args: [PLAN.customers, PLAN.engines, KEPT_CHANGES_SAMPLE].map(String),
    flags: ["--expose-gc"],
  });
  const requestPath = await measureRequestPath();
  const relayRuns = await runRelayForSizes(RELAY_SIZES, RELAY_CHANGES);
  const relay = fitRelayCosts(relayRuns);
  return { imports, state, requestPath, relayRuns, relay };
}

/**
 * Prints the tables; returns 1 if a request did not finish or a daemon of a
 * relay run missed a change.
 */
export async function main(_args: string[]): Promise<number> {
  const measured = await measure();
  console.log(roleTable([...roleLoads(measured), ...relayLoads(measured)]));
  console.log("");
  console.log(renewalTable(renewalLoads(measured)));
  console.log("");
  console.log(storeTable(storeLoads(measured)));
  console.log("");
  console.log(importTable(measured.imports));
  console.log("");
  const keyedPerS = PLAN.requestsPerS * ASSUMPTIONS.keyedShare;
  const limits = {
    claims: claimHistoryCost(keyedPerS, FINGERPRINT_BYTES),
    daemonsAtQuarterOfReads: daemonsAtReadLimit(measured),
  };
  const round = (_key: string, value: unknown) =>
    typeof value === "number" ? roundToSignificantDigits(value) : value;
  console.log(
    JSON.stringify({ bench: "capacity", limits, ...measured }, round),
  );
  const lost = measured.requestPath.unfinished;
  const missing = measured.relayRuns.some((run) => run.missing > 0);
  return lost === 0 && !missing ? 0 : 1;
}
