/** Estimates from lagging hints, corrected by what this entry sent since. */
import { HostState } from "@sassafrascleat/protocol";
import {
  ASSUMED_PREFILL_RATE,
  ASSUMED_SLOTS,
  CROSS_ZONE_TOKENS_PER_MS,
  SAME_ZONE_TOKENS_PER_MS,
  TRANSFER_SETUP_MS,
} from "../constants.ts";
import type { BackendState } from "../placement.ts";

/** True when the backend server takes new work, as far as anyone has heard. */
export function acceptsWork(state: BackendState): boolean {
  return state.server.state === HostState.Live && !state.hint?.leaving;
}

/** Slots believed free; negative when requests wait for one. */
export function freeSlots(state: BackendState): number {
  const { hint, sentSinceHint } = state;
  if (!hint) return ASSUMED_SLOTS - sentSinceHint;
  return hint.slots - hint.running - hint.reserved - sentSinceHint;
}

/** Share of the slots believed taken; above 1 when requests wait for one. */
export function slotOccupancy(state: BackendState): number {
  const slots = Math.max(1, state.hint?.slots ?? ASSUMED_SLOTS);
  return 1 - freeSlots(state) / slots;
}

/** Prefill rate in tokens a second; never 0. */
export function prefillRate(state: BackendState): number {
  const rate = state.hint?.rate ?? 0;
  return rate > 0 ? rate : ASSUMED_PREFILL_RATE;
}

/** Time for `tokens` prompt tokens in an idle engine, in milliseconds. */
export function prefillWorkMs(state: BackendState, tokens: number): number {
  return tokens / prefillRate(state) * 1_000;
}

/**
 * Time until the work queued at a prefill server is done, in milliseconds.
 * Work that is late already is interrupted for a request that is in time.
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
