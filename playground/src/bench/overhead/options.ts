/** Options and sizes of the overhead bench. */

/** Factor on the stand-in engines' durations in the latency part. */
export const TIME_SCALE = 0.5;

/** Slots of one stand-in decode engine. */
export const DECODE_SLOTS = 20;

/** Tokens of one background answer in the latency part. */
export const BACKGROUND_TOKENS = 600;

/** Pairs that are sent before any is counted. */
export const WARM_UP_PAIRS = 30;

/** Characters of a probe's prompt. */
export const PROMPT_CHARS = 1_600;

/** Processes that act as sidecars, and that act as callers. */
export const STAND_IN_PROCESSES = 3;
export const LOAD_PROCESSES = 2;

/** Streams of one stand-in engine's batch, which get their tokens together. */
export const BATCH_STREAMS = 20;

/** Time between a load's first tokens and the measurement, in milliseconds. */
export const SETTLE_MS = 1_500;

/** Time between the tokens of a stream while others start, in milliseconds. */
export const START_STEP_MS = 200;

/** Output tokens that each stream asks for; none ends within its measurement. */
export const STREAM_TOKENS = 4_096;

/** Character that each stand-in token begins with and no frame contains else. */
export const TOKEN_MARK = "~";

/** One load of the throughput part. */
export interface StreamLoad {
  streams: number;
  /** Time between the tokens of one stream, in milliseconds. */
  stepMs: number;
}

/** The tokens of the planned size: 240 answers at 43 ms a token. */
export const PLANNED_LOAD: StreamLoad = { streams: 240, stepMs: 43 };

/** More than one core can carry, so that the entry's core is the limit. */
export const FULL_LOAD: StreamLoad = { streams: 240, stepMs: 2 };

/** Options of a run. */
export interface OverheadOptions {
  /** Probes through the entry, and as many to the engines directly. */
  pairs: number;
  /** Measured time of each throughput load, in milliseconds. */
  windowMs: number;
}
