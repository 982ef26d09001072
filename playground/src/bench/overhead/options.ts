/** Options and sizes of the overhead benchmark. */

/** Factor on the durations of the stand-in engines in the latency part. */
export const TIME_SCALE = 0.5;

/** Slots of one stand-in decode engine. */
export const DECODE_SLOTS = 20;

/** Output tokens of one background stream in the latency part. */
export const BACKGROUND_TOKENS = 600;

/** Number of initial pairs that are not counted. */
export const WARM_UP_PAIRS = 30;

/** Prompt length of each measured request, in characters. */
export const PROMPT_CHARS = 1_600;

/** Number of stand-in sidecar processes and of caller processes. */
export const STAND_IN_PROCESSES = 3;
export const LOAD_PROCESSES = 2;

/** Streams per batch of a stand-in sidecar; a batch gets its tokens at once. */
export const BATCH_STREAMS = 20;

/**
 * Delay between the first tokens of a load's streams and the measurement, in
 * milliseconds.
 */
export const SETTLE_MS = 1_500;

/** Token interval of a stream while other streams start, in milliseconds. */
export const START_STEP_MS = 200;

/** Output tokens of each stream: enough that none ends during the measurement. */
export const STREAM_TOKENS = 4_096;

/** First character of each stand-in token; it occurs nowhere else in a frame. */
export const TOKEN_MARK = "~";

/** One load of the throughput part. */
export interface StreamLoad {
  streams: number;
  /** Token interval of one stream, in milliseconds. */
  stepMs: number;
}

/** Token rate per entry at the planned size: 240 streams at 43 ms per token. */
export const PLANNED_LOAD: StreamLoad = { streams: 240, stepMs: 43 };

/** A token rate above what one core can stream: the entry becomes CPU-bound. */
export const FULL_LOAD: StreamLoad = { streams: 240, stepMs: 2 };

/** Options of a run. */
export interface OverheadOptions {
  /** Number of request pairs: one request through the entry, one direct. */
  pairs: number;
  /** Duration of the measurement of each throughput load, in milliseconds. */
  windowMs: number;
}
