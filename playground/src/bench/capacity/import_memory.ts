/** Resident memory after imports alone, with and without small-heap flags. */
import { runProbe } from "./run_probe.ts";

/** Flags that keep V8's heap small. */
export const SMALL_HEAP_FLAGS = [
  "--max-semi-space-size=1",
  "--max-old-space-size=48",
  "--optimize-for-size",
];

/** Packages that each import set loads; most sets are those of one role. */
const IMPORTS = {
  nothing: [],
  runtime: ["@sassafrascleat/runtime"],
  protocol: ["@sassafrascleat/protocol"],
  fastify: ["fastify"],
  undici: ["undici"],
  sidecar: ["@sassafrascleat/sidecar", "@sassafrascleat/engine"],
  relay: [
    "@sassafrascleat/membership",
    "@sassafrascleat/store",
    "@sassafrascleat/config",
    "fastify",
  ],
  entry: ["@sassafrascleat/entry", "@sassafrascleat/membership"],
  daemon: ["@sassafrascleat/daemon"],
};

/** Names of the measured import sets. */
export type ImportSet = keyof typeof IMPORTS;

/** Resident memory after importing one set, in megabytes. */
export interface ImportMemory {
  set: ImportSet;
  rssMb: number;
  /** Resident memory when Node runs with `SMALL_HEAP_FLAGS`. */
  smallHeapRssMb: number;
}

/** Measures every import set, one process at a time. */
export async function measureImports(): Promise<ImportMemory[]> {
  const results: ImportMemory[] = [];
  for (const [set, args] of Object.entries(IMPORTS)) {
    const probe = { file: "./import_probe.js", args };
    const plain = await runProbe<{ rssMb: number }>({ ...probe, flags: [] });
    const small = await runProbe<{ rssMb: number }>({
      ...probe,
      flags: SMALL_HEAP_FLAGS,
    });
    results.push({
      set: set as ImportSet,
      rssMb: plain.rssMb,
      smallHeapRssMb: small.rssMb,
    });
  }
  return results;
}
