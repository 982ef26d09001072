/**
 * Decides how long a backend server's stream waits for a caller that reads slowly.
 * An engine cuts off a response that stays unread for some seconds, and what
 * it buffers for unread responses may exceed its memory. The router therefore
 * reads ahead by some bytes, which are enough for most streams as a whole, then
 * pauses the response, and ends the stream when the caller reads nothing during
 * a pause. A caller that reads steadily is served however slow it is, until the
 * bytes that wait for it reach a limit.
 */
import type { Clock } from "@sassafrascleat/runtime";

/** Options of {@link SlowReader}. */
export interface SlowReaderOptions {
  clock: Clock;
  /** Longest pause of the response, in milliseconds. @default 2000 */
  maxPauseMs?: number;
  /** Bytes that may wait before the response is paused. @default 65536 */
  readAheadBytes?: number;
  /** Bytes that may wait before the stream is ended. @default 524288 */
  maxWaitingBytes?: number;
}

/** What to do with the response of the backend server. */
export enum ReadAction {
  Read = "read",
  Pause = "pause",
  /** End the stream: the caller reads nothing. */
  EndStalled = "stalled",
  /** End the stream: too many bytes wait for the caller. */
  EndOverfull = "overfull",
}

/** The state of one caller's connection. */
export interface OutputState {
  /** Bytes that the caller's connection has not accepted. */
  waitingBytes: number;
  /** An earlier response on the caller's connection is incomplete. */
  blocked: boolean;
  /** The router holds much of the memory that it may hold for peers. */
  memoryShort: boolean;
}

/** Longest pause of a response, in milliseconds. */
export const MAX_PAUSE_MS = 2_000;
const READ_AHEAD_BYTES = 64 * 1024;
/** Above one event and one chunk of the longest size beside the read-ahead. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Decides about the response that is read for one caller. */
export class SlowReader {
  readonly #clock: Clock;
  readonly #maxPauseMs: number;
  readonly #readAheadBytes: number;
  readonly #maxWaitingBytes: number;
  /** Start of the pause, in milliseconds of the clock. */
  #pausedMs: number | undefined;
  /** The caller has read something since the response was paused. */
  #progressed = false;

  constructor(options: SlowReaderOptions) {
    this.#clock = options.clock;
    this.#maxPauseMs = options.maxPauseMs ?? MAX_PAUSE_MS;
    this.#readAheadBytes = options.readAheadBytes ?? READ_AHEAD_BYTES;
    this.#maxWaitingBytes = options.maxWaitingBytes ?? MAX_WAITING_BYTES;
  }

  /** Time until a pause is at its longest, in milliseconds. */
  get pauseLeftMs(): number {
    const sinceMs = this.#pausedMs ?? this.#clock.now();
    return Math.max(1, sinceMs + this.#maxPauseMs - this.#clock.now());
  }

  /** Returns what to do after bytes were written that not all fit. */
  afterWrite(state: OutputState): ReadAction {
    if (state.waitingBytes > this.#maxWaitingBytes) {
      return ReadAction.EndOverfull;
    }
    if (this.#mayReadAhead(state)) return ReadAction.Read;
    if (this.#pausedMs === undefined) {
      this.#pausedMs = this.#clock.now();
      this.#progressed = false;
    }
    return ReadAction.Pause;
  }

  /** Returns what to do after the caller's connection has accepted bytes. */
  afterProgress(state: OutputState): ReadAction {
    this.#progressed = true;
    if (this.#pausedMs === undefined) return ReadAction.Read;
    return this.#mayReadAhead(state) ? this.#resume() : ReadAction.Pause;
  }

  /** Returns what to do when time has passed without any of these. */
  afterPause({ blocked }: OutputState): ReadAction {
    if (this.#pausedMs === undefined) return ReadAction.Read;
    const pauseMs = this.#clock.now() - this.#pausedMs;
    if (pauseMs < this.#maxPauseMs) return ReadAction.Pause;
    // Reading on keeps the server's response from staying unread.
    if (this.#progressed || blocked) return this.#resume();
    return ReadAction.EndStalled;
  }

  #mayReadAhead({ waitingBytes, memoryShort }: OutputState): boolean {
    return waitingBytes <= (memoryShort ? 0 : this.#readAheadBytes);
  }

  #resume(): ReadAction {
    this.#pausedMs = undefined;
    return ReadAction.Read;
  }
}
