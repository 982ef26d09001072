/** Resident memory that imports alone bring, with and without heap flags. */
import { runProbe } from "./probe_link.ts";

/** Flags that keep V8's heap small. */
export const SMALL_HEAP_FLAGS = [
  "--max-semi-space-size=1",
  "--max-old-space-size=48",
  "--optimize-for-size",
];

/** What a role imports. */
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

/** Memory of one import set, in megabytes. */
export interface ImportMemory {
  set: ImportSet;
  rssMb: number;
  /** With `SMALL_HEAP_FLAGS`. */
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
