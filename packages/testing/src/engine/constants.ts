/** Defaults of the stand-in engine. */

/** Requests in one decode batch at most. */
export const DEFAULT_MAX_RUNNING = 20;

/** Pieces of engine memory. */
export const DEFAULT_TOTAL_PIECES = 400;

/** Time of a decode step with an empty batch, in milliseconds. */
export const DEFAULT_STEP_BASE_MS = 18;

/** Growth of the decode step with each request in the batch, in milliseconds. */
export const DEFAULT_STEP_PER_REQUEST_MS = 0.9;

/** Prompt tokens a second. */
export const DEFAULT_PREFILL_RATE = 25_000;

/** Prompt tokens that are run before the queue is looked at again. */
export const DEFAULT_PREFILL_CHUNK_TOKENS = 2_048;

/** Pieces in the prefix cache. */
export const DEFAULT_PREFIX_CACHE_PIECES = 200;

/** Life of a prefill result after its end, in milliseconds. */
export const DEFAULT_RESULT_LIFETIME_MS = 800;

/** Rate of a KV link, in tokens a second. */
export const DEFAULT_LINK_RATE = 400_000;

/** Age of a load report, in milliseconds. */
export const DEFAULT_LOAD_LAG_MS = 250;

/** Delay of a cache event, in milliseconds. */
export const DEFAULT_CACHE_EVENT_LAG_MS = 400;

/** Share of cache events that are lost. */
export const DEFAULT_CACHE_EVENT_LOSS = 0.05;

/** Time that an ended request's tokens can still be resumed, in milliseconds. */
export const ENDED_RETENTION_MS = 5_000;

/** Paths between engines. */
export enum KvPath {
  Export = "/v1/kv/export",
  Used = "/v1/kv/used",
}
