/** Load estimates from lagging hints, corrected for work that this entry sent since. */
import { HostState } from "@sassafrascleat/protocol";
import {
  ASSUMED_PREFILL_RATE,
  ASSUMED_SLOTS,
  CROSS_ZONE_TOKENS_PER_MS,
  SAME_ZONE_TOKENS_PER_MS,
  TRANSFER_SETUP_MS,
} from "../constants.ts";
import type { BackendState } from "../placement.ts";

/** Returns whether the backend server accepts new work, according to its last known state. */
export function acceptsWork(state: BackendState): boolean {
  return state.server.state === HostState.Live && !state.hint?.leaving;
}

/** Estimated number of free slots; negative when requests are waiting for one. */
export function freeSlots(state: BackendState): number {
  const { hint, requestsSentSinceHint } = state;
  if (!hint) return ASSUMED_SLOTS - requestsSentSinceHint;
  return hint.slots - hint.running - hint.reserved - requestsSentSinceHint;
}

/** Estimated share of the slots in use; above 1 when requests are waiting for one. */
export function slotOccupancy(state: BackendState): number {
  const slots = Math.max(1, state.hint?.slots ?? ASSUMED_SLOTS);
  return 1 - freeSlots(state) / slots;
}

/** Prefill rate in tokens per second; never 0. */
export function prefillRate(state: BackendState): number {
  const rate = state.hint?.rate ?? 0;
  return rate > 0 ? rate : ASSUMED_PREFILL_RATE;
}

/** Time to prefill `tokens` prompt tokens on an idle engine, in milliseconds. */
export function prefillWorkMs(state: BackendState, tokens: number): number {
  return tokens / prefillRate(state) * 1_000;
}

/**
 * Time until the work queued at a prefill server is complete, in milliseconds.
 * With `onTimeOnly`, work that can no longer meet its target is not counted,
 * because a request that can still meet its target preempts it.
 */
export function prefillQueueMs(
  state: BackendState,
  onTimeOnly = false,
): number {
  const { hint } = state;
  const queued = onTimeOnly ? hint?.urgentTokens : hint?.queuedTokens;
  const hintedMs = prefillWorkMs(state, queued ?? hint?.queuedTokens ?? 0);
  const remainingMs = Math.max(0, hintedMs - state.hintAgeMs);
  return remainingMs + prefillWorkMs(state, state.tokensSentSinceHint);
}

/** Time to move the KV cache of `tokens` tokens, in milliseconds. */
export function transferMs(tokens: number, sameZone: boolean): number {
  const rate = sameZone ? SAME_ZONE_TOKENS_PER_MS : CROSS_ZONE_TOKENS_PER_MS;
  return TRANSFER_SETUP_MS + tokens / rate;
}
