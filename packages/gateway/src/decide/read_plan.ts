/**
 * Whether a prompt is read apart or by the decode engine itself. Load pattern:
 * prefill engines are lost or overloaded while decode engines still have
 * memory. A decode engine reads more slowly, and the streams of its other
 * requests pause meanwhile, so it reads only when waiting for a prefill engine
 * takes clearly longer and would make the request late.
 */

/** Who reads a prompt. */
export enum ReadPlace {
  Prefill = "prefill",
  Decode = "decode",
}

/** What the choice is made from. */
export interface ReadPlanInputs {
  /** Reading alone at a prefill engine, in milliseconds. */
  readMs: number;
  /** Wait before a prefill engine begins; undefined when there is none. */
  prefillWaitMs: number | undefined;
  /** Time in which reading has to be over to be on time, in milliseconds. */
  onTimeMs: number;
}

export interface ReadPlan {
  place: ReadPlace;
  /** Expected time until the prompt is read, in milliseconds. */
  expectedMs: number;
}

/** Reading at a decode engine takes this many times as long. */
const DECODE_READ_FACTOR = 2.2;
/** A prefill engine may take this many times as long as a decode engine. */
const PREFERENCE = 1.15;
/** Part of the time until a request is late that a prefill engine may take. */
const ON_TIME_SHARE = 0.6;
/** What a late request waits for a prefill engine, in milliseconds. */
const LATE_READ_MS = 1_000;

/** Chooses who reads the prompt. */
export function planRead(inputs: ReadPlanInputs): ReadPlan {
  const decodeMs = inputs.readMs * DECODE_READ_FACTOR;
  if (inputs.prefillWaitMs === undefined) {
    return { place: ReadPlace.Decode, expectedMs: decodeMs };
  }
  const prefillMs = inputs.prefillWaitMs + inputs.readMs;
  const acceptableMs = Math.max(
    decodeMs * PREFERENCE,
    inputs.onTimeMs > 0 ? inputs.onTimeMs * ON_TIME_SHARE : LATE_READ_MS,
  );
  if (prefillMs <= acceptableMs) {
    return { place: ReadPlace.Prefill, expectedMs: prefillMs };
  }
  return { place: ReadPlace.Decode, expectedMs: decodeMs };
}
