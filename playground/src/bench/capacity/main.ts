/**
 * `npm run bench -- capacity`: measures the slopes of every role in this run,
 * works out the planned size from them and prints the tables of
 * docs/CAPACITY.md, then one line of JSON with what was measured.
 */
import { significant } from "../measure/fit.ts";
import { runSizes, slopesOf } from "../relay/main.ts";
import { measureImports } from "./import_memory.ts";
import { ASSUMED, PLAN } from "./plan.ts";
import { runProbe } from "./probe_link.ts";
import { measureRequestPath } from "./request_path.ts";
import type { ControlState } from "./state_probe.ts";
import { importTable, renewTable, roleTable, storeTable } from "./tables.ts";
import {
  claimHistory,
  daemonsAtReadLimit,
  type Measured,
  relayOnly,
  renewLoads,
  roleLoads,
  storeLoads,
} from "./work_out.ts";
import {
  FINGERPRINT_BYTES,
  KEPT_CHANGES_SAMPLE,
  RELAY_SIZES,
} from "./sizes.ts";

const RELAY_CHANGES = 10;

async function measure(): Promise<Measured> {
  const imports = await measureImports();
  const state = await runProbe<ControlState>({
    file: "./state_probe.js",
    args: [PLAN.customers, PLAN.engines, KEPT_CHANGES_SAMPLE].map(String),
    flags: ["--expose-gc"],
  });
  const requestPath = await measureRequestPath();
  const relayRuns = await runSizes(RELAY_SIZES, RELAY_CHANGES);
  const relay = slopesOf(relayRuns);
  return { imports, state, requestPath, relayRuns, relay };
}

/** Prints the tables; fails when a load of the run did not come back whole. */
export async function main(_args: string[]): Promise<number> {
  const measured = await measure();
  console.log(roleTable([...roleLoads(measured), ...relayOnly(measured)]));
  console.log("");
  console.log(renewTable(renewLoads(measured)));
  console.log("");
  console.log(storeTable(storeLoads(measured)));
  console.log("");
  console.log(importTable(measured.imports));
  console.log("");
  const keyedPerS = PLAN.requestsPerS * ASSUMED.keyedShare;
  const limits = {
    claims: claimHistory(keyedPerS, FINGERPRINT_BYTES),
    daemonsAtQuarterOfReads: daemonsAtReadLimit(measured),
  };
  const round = (_key: string, value: unknown) =>
    typeof value === "number" ? significant(value) : value;
  console.log(
    JSON.stringify({ bench: "capacity", limits, ...measured }, round),
  );
  const lost = measured.requestPath.unfinished;
  const missing = measured.relayRuns.some((run) => run.missing > 0);
  return lost === 0 && !missing ? 0 : 1;
}
