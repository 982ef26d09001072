/** Imports the packages named as arguments and reports the resident memory. */
import { setTimeout as pause } from "node:timers/promises";

/** Time for the process to settle after its imports, in milliseconds. */
const SETTLE_MS = 300;

for (const name of process.argv.slice(2)) await import(name);
await pause(SETTLE_MS);
const rssMb = process.memoryUsage().rss / 1e6;
process.send?.({ rssMb }, () => process.exit(0));
