/**
 * Concurrent prefills of one prompt. A second call is made while the engine of the
 * first is silent, and the first result is used.
 */
import type { Backend } from "../backends/backend.ts";
import type { KvSource } from "../http/wire_codec.ts";

/** The result of a prefill that a decode engine can fetch. */
export interface PrefillResult {
  engine: Backend;
  source: KvSource;
  /** When the prefill completed, in milliseconds of the process clock. */
  completedAtMs: number;
  /** Time that it took, by the size of the prompt, in milliseconds. */
  normalizedMs: number;
  /** Frees an unused result. */
  discard(): void;
}

/** A prefill in progress. */
export interface PrefillCall {
  /** Undefined if it failed. */
  result: Promise<PrefillResult | undefined>;
  /** True once the engine is silent, so that another one should be tried. */
  stalled: Promise<boolean>;
}

/** Returns the first result; undefined once the newest call gives none soon. */
export function firstResult(
  calls: readonly PrefillCall[],
): Promise<PrefillResult | undefined> {
  return new Promise((resolve, reject) => {
    for (const { result } of calls) {
      result.then((done) => done && resolve(done), reject);
    }
    const newest = calls.at(-1);
    newest?.result.then(resolve, reject);
    void newest?.stalled.then((stalled) => stalled && resolve(undefined));
  });
}
