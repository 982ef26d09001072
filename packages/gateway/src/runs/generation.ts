/** Size and progress of one generation, across all engines that run it. */
import type { EngineCapacity } from "../config/routing_table.ts";
import type { PromptInfo } from "../http/wire_codec.ts";

/** What the caller has received so far. */
export interface StreamProgress {
  /** Events forwarded to the caller. */
  events: number;
  /** Id of the last event forwarded. */
  lastEventId: string | undefined;
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /** Longest gap between two events, in milliseconds. */
  longestGapMs: number;
  /** The router ended the stream because the caller did not read it. */
  slowReader: boolean;
}

/** Creates the progress of a new stream, or of one resumed after `lastEventId`. */
export function createProgress(
  lastEventId: string | undefined,
): StreamProgress {
  return {
    events: 0,
    lastEventId,
    firstEventAtMs: undefined,
    lastEventAtMs: undefined,
    longestGapMs: 0,
    slowReader: false,
  };
}

/** One generation and its expected size. */
export class Generation {
  readonly prompt: PromptInfo;
  readonly capacity: EngineCapacity;
  /** Expected output, in tokens. */
  readonly expectedTokens: number;
  readonly progress: StreamProgress;

  constructor(
    prompt: PromptInfo,
    capacity: EngineCapacity,
    expectedTokens: number,
    lastEventId: string | undefined,
  ) {
    this.prompt = prompt;
    this.capacity = capacity;
    this.expectedTokens = expectedTokens;
    this.progress = createProgress(lastEventId);
  }

  /** Tokens generated so far, estimated from the number of events. */
  get generatedTokens(): number {
    return this.progress.events * this.capacity.tokensPerEvent;
  }

  /** Memory that the generation is expected to occupy when it ends, in tokens. */
  get expectedTotalTokens(): number {
    const output = Math.max(this.generatedTokens, this.expectedTokens);
    return this.prompt.promptTokens + output;
  }

  /**
   * Expected time until the generation completes, in milliseconds; Infinity
   * while its speed isn't known.
   */
  remainingMs(): number {
    const { events, firstEventAtMs, lastEventAtMs } = this.progress;
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) {
      return Infinity;
    }
    if (lastEventAtMs === firstEventAtMs) return Infinity;
    const gaps = Math.max(1, events - 1);
    const gapMs = (lastEventAtMs - firstEventAtMs) / gaps;
    const expectedEvents = this.expectedTokens / this.capacity.tokensPerEvent;
    // A generation past its expected length may continue for half as long again.
    const remainingEvents = Math.max(expectedEvents - events, events / 2);
    return remainingEvents * gapMs;
  }

  /** Decode work: the engine's decode time times the share of it used, in ms. */
  decodeWorkMs(): number {
    const { firstEventAtMs = 0, lastEventAtMs = 0 } = this.progress;
    const tokens = this.prompt.promptTokens + this.generatedTokens / 2;
    const memoryShare = tokens / this.capacity.kvTokens;
    const share = Math.max(memoryShare, 1 / this.capacity.slots);
    return share * (lastEventAtMs - firstEventAtMs);
  }
}
