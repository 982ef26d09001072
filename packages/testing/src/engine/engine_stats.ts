/** Statistics of a simulated engine, against which tests check its callers. */
import type { OrderRequest } from "@sassafrascleat/protocol";

/** What one simulated engine has executed since its start. */
export interface EngineStats {
  /**
   * Decodes started, by `requestId/attempt`. Repeated calls that joined a known
   * decode aren't counted.
   */
  executions: Record<string, number>;
  /** Tokens produced by request id, summed over all attempts. */
  tokensByRequest: Record<string, number>;
  prefillsRun: number;
  /** Prefill results that were imported by a decode that then started. */
  prefillsUsed: number;
  prefillsExpired: number;
  prefillsCancelled: number;
  /** Prompt tokens computed, without those served from the prefix cache. */
  prefillTokens: number;
  /** Prompt tokens computed for prefills whose result was never used. */
  wastedTokens: number;
  /** Prompt tokens served from the prefix cache. */
  cachedTokens: number;
  decodesStarted: number;
  decodesEnded: number;
  decodesCancelled: number;
  decodesLost: number;
  transfersFailed: number;
  /** Accepted orders, oldest first. */
  orders: OrderRequest[];
}

/** The statistics, and what the engine holds in memory at this moment. */
export interface EngineStatsSnapshot extends EngineStats {
  heldPieces: number;
  heldIds: string[];
}

export function createEngineStats(): EngineStats {
  return {
    executions: {},
    tokensByRequest: {},
    prefillsRun: 0,
    prefillsUsed: 0,
    prefillsExpired: 0,
    prefillsCancelled: 0,
    prefillTokens: 0,
    wastedTokens: 0,
    cachedTokens: 0,
    decodesStarted: 0,
    decodesEnded: 0,
    decodesCancelled: 0,
    decodesLost: 0,
    transfersFailed: 0,
    orders: [],
  };
}

/** Adds `amount` to the counter `key`, which starts at 0. */
export function incrementBy(
  counters: Record<string, number>,
  key: string,
  amount: number,
): void {
  counters[key] = (counters[key] ?? 0) + amount;
}

/** Extracts the request id from `requestId/attempt`. */
export function requestIdOf(id: string): string {
  const slash = id.lastIndexOf("/");
  return slash < 0 ? id : id.slice(0, slash);
}
