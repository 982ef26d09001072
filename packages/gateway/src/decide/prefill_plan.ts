/**
 * Decides whether a prefill engine or the decode engine itself runs a prefill.
 * Prefill engines can be lost or overloaded while decode engines still have
 * memory. A decode engine runs a prefill more slowly, and the streams of its
 * other requests pause meanwhile, so it is used only if waiting for a prefill
 * engine takes clearly longer and would make the request late.
 */

/** The kind of engine that runs a prefill. */
export enum PrefillPlace {
  Prefill = "prefill",
  Decode = "decode",
}

/** Inputs of the decision. */
export interface PrefillPlanInputs {
  /** Duration of the prefill on a prefill engine, in milliseconds. */
  prefillMs: number;
  /** Wait until a prefill engine starts; undefined if there is none. */
  prefillWaitMs: number | undefined;
  /** Time left for a prefill that ends on time, in milliseconds. */
  onTimeMs: number;
  /** Whether queues are kept short, which others would fill. @default false */
  overloadControl?: boolean;
}

export interface PrefillPlan {
  place: PrefillPlace;
  /** Expected time until the prefill ends, in milliseconds. */
  expectedMs: number;
}

/** A prefill takes this many times as long on a decode engine. */
export const DECODE_PREFILL_FACTOR = 2.2;
/**
 * A prefill engine, including the wait for it, may take this many times as long
 * as a decode engine.
 */
const PREFILL_ENGINE_TOLERANCE = 1.15;
/** Part of the time until a request is late that a prefill engine may use. */
const MAX_PREFILL_TIME_SHARE = 0.6;
/**
 * The same under overload control: what a router knows of a queue is some
 * hundred milliseconds old, in which others have made it longer.
 */
const MAX_CONTROLLED_TIME_SHARE = 0.2;
/** Longest prefill by a prefill engine for a late request, in milliseconds. */
const LATE_REQUEST_MAX_PREFILL_MS = 1_000;

/** Chooses the kind of engine for the prefill. */
export function planPrefill(inputs: PrefillPlanInputs): PrefillPlan {
  const decodeMs = inputs.prefillMs * DECODE_PREFILL_FACTOR;
  if (inputs.prefillWaitMs === undefined) {
    return { place: PrefillPlace.Decode, expectedMs: decodeMs };
  }
  const prefillMs = inputs.prefillWaitMs + inputs.prefillMs;
  const timeShare = inputs.overloadControl
    ? MAX_CONTROLLED_TIME_SHARE
    : MAX_PREFILL_TIME_SHARE;
  const maxPrefillMs = Math.max(
    decodeMs * PREFILL_ENGINE_TOLERANCE,
    inputs.onTimeMs > 0
      ? inputs.onTimeMs * timeShare
      : LATE_REQUEST_MAX_PREFILL_MS,
  );
  if (prefillMs <= maxPrefillMs) {
    return { place: PrefillPlace.Prefill, expectedMs: prefillMs };
  }
  return { place: PrefillPlace.Decode, expectedMs: decodeMs };
}
