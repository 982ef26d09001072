/** What the stand-ins really did, for oracles. */
import type { OrderRequest } from "@sassafrascleat/protocol";

/** The books of one stand-in engine. */
export interface EngineBooks {
  /** Decodes begun, by `requestId/attempt`; repeats that joined are left out. */
  executions: Record<string, number>;
  /** Tokens produced, by request id, over all attempts. */
  tokensByRequest: Record<string, number>;
  prefillsRun: number;
  /** Results that were imported into a decode that began. */
  prefillsUsed: number;
  prefillsExpired: number;
  prefillsCancelled: number;
  /** Prompt tokens run, those from the prefix cache left out. */
  prefillTokens: number;
  /** Prompt tokens run for results that were never used. */
  wastedTokens: number;
  /** Prompt tokens served from the prefix cache. */
  cachedTokens: number;
  decodesStarted: number;
  decodesEnded: number;
  decodesCancelled: number;
  decodesLost: number;
  transfersFailed: number;
  /** Orders that were followed, in order. */
  orders: OrderRequest[];
}

/** The books and what the engine holds at this moment. */
export interface EngineBooksNow extends EngineBooks {
  heldPieces: number;
  heldIds: string[];
}

/** Empty books. */
export function createEngineBooks(): EngineBooks {
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

/** Adds `count` under `key`. */
export function addTo(
  table: Record<string, number>,
  key: string,
  count: number,
): void {
  table[key] = (table[key] ?? 0) + count;
}

/** The request id in `requestId/attempt`. */
export function requestIdOf(id: string): string {
  const slash = id.lastIndexOf("/");
  return slash < 0 ? id : id.slice(0, slash);
}
