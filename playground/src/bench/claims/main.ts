/**
 * `npm run bench -- claims [--rates 10,50] [--seconds 5] [--entries 2]
 * [--store-delay-ms 3]`: measures store writes per second at several rates of
 * calls with idempotency keys, and the same calls without keys for comparison.
 */
import { parseArgs } from "node:util";
import { startFleet } from "./fleet.ts";
import { type LoadResult, runLevel } from "./load.ts";

/** Runs the bench; returns the exit status. */
export async function main(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      rates: { type: "string", default: "10,50,200,400" },
      seconds: { type: "string", default: "5" },
      entries: { type: "string", default: "2" },
      "store-delay-ms": { type: "string", default: "3" },
    },
  });
  const seconds = Number(values.seconds);
  const entries = Number(values.entries);
  const storeDelayMs = Number(values["store-delay-ms"]);
  const fleet = await startFleet(entries, storeDelayMs);
  const levels: LoadResult[] = [];
  try {
    for (const callsPerSecond of values.rates.split(",").map(Number)) {
      for (const keyed of [false, true]) {
        const level = { callsPerSecond, seconds, keyed };
        levels.push(await runLevel(fleet, level));
      }
    }
  } finally {
    await fleet.close();
  }
  const bench = "claims";
  console.log(
    JSON.stringify({ bench, entries, seconds, storeDelayMs, levels }),
  );
  return 0;
}
