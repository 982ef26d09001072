/**
 * Whether a prompt is read apart or by the decode engine itself. Load pattern:
 * prefill engines are lost or overloaded while decode engines still have
 * memory. A decode engine reads more slowly and holds up its other requests, so
 * it reads only when the wait for a prefill engine is clearly longer.
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

/** Chooses who reads the prompt. */
export function planRead(inputs: ReadPlanInputs): ReadPlan {
  const decodeMs = inputs.readMs * DECODE_READ_FACTOR;
  if (inputs.prefillWaitMs === undefined) {
    return { place: ReadPlace.Decode, expectedMs: decodeMs };
  }
  const prefillMs = inputs.prefillWaitMs + inputs.readMs;
  if (prefillMs > decodeMs * PREFERENCE) {
    return { place: ReadPlace.Decode, expectedMs: decodeMs };
  }
  return { place: ReadPlace.Prefill, expectedMs: prefillMs };
}
