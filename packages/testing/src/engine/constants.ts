/** Defaults and internal paths of the simulated engine. */

/** Maximum number of requests in the decode batch. */
export const DEFAULT_MAX_RUNNING = 20;

/** Size of the KV memory, in pieces of `TOKENS_PER_PIECE` tokens. */
export const DEFAULT_TOTAL_PIECES = 400;

/** Fixed part of the duration of a decode step, in milliseconds. */
export const DEFAULT_STEP_BASE_MS = 18;

/** Duration that each request adds to a decode step, in milliseconds. */
export const DEFAULT_STEP_PER_REQUEST_MS = 0.9;

/** Prefill speed, in prompt tokens per second. */
export const DEFAULT_PREFILL_RATE = 25_000;

/** Prompt tokens per prefill chunk; the next job is chosen after each chunk. */
export const DEFAULT_PREFILL_CHUNK_TOKENS = 2_048;

/** Capacity of the prefix cache, in pieces. */
export const DEFAULT_PREFIX_CACHE_PIECES = 200;

/** Time to live of a prefill result, in milliseconds from its completion. */
export const DEFAULT_RESULT_LIFETIME_MS = 800;

/** Rate of a KV link, in tokens per second. */
export const DEFAULT_LINK_RATE = 400_000;

/** Age of the load that the engine reports, in milliseconds. */
export const DEFAULT_LOAD_LAG_MS = 250;

/** Delay before a cache event can be read, in milliseconds. */
export const DEFAULT_CACHE_EVENT_LAG_MS = 400;

/** Fraction of cache events that are lost. */
export const DEFAULT_CACHE_EVENT_LOSS = 0.05;

/** Time during which an ended request can be resumed, in milliseconds. */
export const ENDED_RETENTION_MS = 5_000;

/** HTTP paths that engines call on each other. */
export enum KvPath {
  Export = "/v1/kv/export",
  Used = "/v1/kv/used",
}
