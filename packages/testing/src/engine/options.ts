/** Options of the simulated engine. */
import { BackendRole } from "@sassafrascleat/protocol";
import {
  DEFAULT_CACHE_EVENT_LAG_MS,
  DEFAULT_CACHE_EVENT_LOSS,
  DEFAULT_LINK_RATE,
  DEFAULT_LOAD_LAG_MS,
  DEFAULT_MAX_RUNNING,
  DEFAULT_PREFILL_CHUNK_TOKENS,
  DEFAULT_PREFILL_RATE,
  DEFAULT_PREFIX_CACHE_PIECES,
  DEFAULT_RESULT_LIFETIME_MS,
  DEFAULT_STEP_BASE_MS,
  DEFAULT_STEP_PER_REQUEST_MS,
  DEFAULT_TOTAL_PIECES,
} from "./constants.ts";

/** Options of `createEngineServer`; `timeScale` applies to times and rates. */
export interface EngineServerOptions {
  /** Name of the backend server. */
  name: string;
  /** @default "zone-a" */
  availabilityZone?: string;
  /** @default BackendRole.Decode */
  role?: BackendRole.Prefill | BackendRole.Decode;
  /**
   * Port on 127.0.0.1; 0 selects a free port.
   * @default 0
   */
  port?: number;
  /**
   * Factor for all durations; 0.1 runs ten times as fast.
   * @default 1
   */
  timeScale?: number;
  /** @default 20 */
  maxRunning?: number;
  /** @default 400 */
  totalPieces?: number;
  /** @default 18 */
  stepBaseMs?: number;
  /** @default 0.9 */
  stepPerRequestMs?: number;
  /**
   * Prefill speed, in prompt tokens per second.
   * @default 25000
   */
  prefillRate?: number;
  /** @default 2048 */
  prefillChunkTokens?: number;
  /** @default 200 */
  prefixCachePieces?: number;
  /** @default 800 */
  resultLifetimeMs?: number;
  /**
   * Rate of the engine's KV link in each direction, in tokens per second.
   * @default 400000
   */
  linkRate?: number;
  /**
   * One-way latency to engines in other availability zones, in milliseconds.
   * @default {}
   */
  zoneLatencyMs?: Readonly<Record<string, number>>;
  /** @default 250 */
  loadLagMs?: number;
  /** @default 400 */
  cacheEventLagMs?: number;
  /**
   * Fraction of cache events that are lost, 0 to 1.
   * @default 0.05
   */
  cacheEventLoss?: number;
  /**
   * Accept orders with an outdated fencing number.
   * @default false
   */
  ignoreFencing?: boolean;
  /** @default 1 */
  seed?: number;
}

/** `EngineServerOptions` with all defaults and `timeScale` applied. */
export type ResolvedEngineServerOptions = Required<EngineServerOptions>;

/** Fills in the defaults and applies the time scale. */
export function resolveEngineServerOptions(
  raw: EngineServerOptions,
): ResolvedEngineServerOptions {
  const scale = raw.timeScale ?? 1;
  const latency = Object.entries(raw.zoneLatencyMs ?? {})
    .map(([zone, ms]) => [zone, ms * scale]);
  return {
    name: raw.name,
    availabilityZone: raw.availabilityZone ?? "zone-a",
    role: raw.role ?? BackendRole.Decode,
    port: raw.port ?? 0,
    timeScale: scale,
    maxRunning: raw.maxRunning ?? DEFAULT_MAX_RUNNING,
    totalPieces: raw.totalPieces ?? DEFAULT_TOTAL_PIECES,
    stepBaseMs: (raw.stepBaseMs ?? DEFAULT_STEP_BASE_MS) * scale,
    stepPerRequestMs: (raw.stepPerRequestMs ?? DEFAULT_STEP_PER_REQUEST_MS) *
      scale,
    prefillRate: (raw.prefillRate ?? DEFAULT_PREFILL_RATE) / scale,
    prefillChunkTokens: raw.prefillChunkTokens ?? DEFAULT_PREFILL_CHUNK_TOKENS,
    prefixCachePieces: raw.prefixCachePieces ?? DEFAULT_PREFIX_CACHE_PIECES,
    resultLifetimeMs: (raw.resultLifetimeMs ?? DEFAULT_RESULT_LIFETIME_MS) *
      scale,
    linkRate: (raw.linkRate ?? DEFAULT_LINK_RATE) / scale,
    zoneLatencyMs: Object.fromEntries(latency),
    loadLagMs: (raw.loadLagMs ?? DEFAULT_LOAD_LAG_MS) * scale,
    cacheEventLagMs: (raw.cacheEventLagMs ?? DEFAULT_CACHE_EVENT_LAG_MS) *
      scale,
    cacheEventLoss: raw.cacheEventLoss ?? DEFAULT_CACHE_EVENT_LOSS,
    ignoreFencing: raw.ignoreFencing ?? false,
    seed: raw.seed ?? 1,
  };
}
