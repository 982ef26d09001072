/** Size and progress of one generation, over all engines that it runs at. */
import type { EngineCapacity } from "../config/routing_table.ts";
import type { PromptShape } from "../http/wire_codec.ts";

/** What the caller has got so far. */
export interface StreamProgress {
  /** Events passed on to the caller. */
  events: number;
  /** Id of the last event passed on. */
  lastEventId: string | undefined;
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /** Longest pause between two events, in milliseconds. */
  longestGapMs: number;
}

/** The progress of a stream that begins, or goes on after `lastEventId`. */
export function createProgress(
  lastEventId: string | undefined,
): StreamProgress {
  return {
    events: 0,
    lastEventId,
    firstEventAtMs: undefined,
    lastEventAtMs: undefined,
    longestGapMs: 0,
  };
}

/** One generation. */
export class Generation {
  readonly prompt: PromptShape;
  readonly capacity: EngineCapacity;
  /** Expected output, in tokens. */
  readonly expectedTokens: number;
  readonly progress: StreamProgress;

  constructor(
    prompt: PromptShape,
    capacity: EngineCapacity,
    expectedTokens: number,
    lastEventId: string | undefined,
  ) {
    this.prompt = prompt;
    this.capacity = capacity;
    this.expectedTokens = expectedTokens;
    this.progress = createProgress(lastEventId);
  }

  /** Tokens generated so far, as far as events tell. */
  get madeTokens(): number {
    return this.progress.events * this.capacity.tokensPerEvent;
  }

  /** Memory that the generation is expected to take in the end, in tokens. */
  get finalTokens(): number {
    const output = Math.max(this.madeTokens, this.expectedTokens);
    return this.prompt.promptTokens + output;
  }

  /** Memory to reserve, with `ratio` times the expected output. */
  tokensToReserve(ratio: number): number {
    const output = Math.max(this.madeTokens, this.expectedTokens) * ratio;
    const tokens = Math.ceil(this.prompt.promptTokens + output);
    return Math.min(this.capacity.kvTokens, tokens);
  }

  /** Expected time until it ends by itself, in milliseconds. */
  remainingMs(): number {
    const { events, firstEventAtMs, lastEventAtMs } = this.progress;
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) {
      return Infinity;
    }
    const gaps = Math.max(1, events - 1);
    const gapMs = (lastEventAtMs - firstEventAtMs) / gaps;
    const wanted = this.expectedTokens / this.capacity.tokensPerEvent;
    // What runs longer than expected may go on for half as long again.
    const left = Math.max(wanted - events, events / 2);
    return left * gapMs;
  }

  /** Time of one whole engine that decoding took, in milliseconds. */
  decodeWorkMs(): number {
    const { firstEventAtMs = 0, lastEventAtMs = 0 } = this.progress;
    const tokens = this.prompt.promptTokens + this.madeTokens / 2;
    const memory = tokens / this.capacity.kvTokens;
    const share = Math.max(memory, 1 / this.capacity.slots);
    return share * (lastEventAtMs - firstEventAtMs);
  }
}
