/** Selects the engines that can use each other's KV-cache memory. */
import type { Backend } from "../backends/backend.ts";

/** The engines of one version; all of them if it is undefined. */
export function ofVersion(
  engines: readonly Backend[],
  version: string | undefined,
): readonly Backend[] {
  return version === undefined
    ? engines
    : engines.filter((engine) => engine.version === version);
}
