/** Options of a sidecar. */
import type { Engine, PlainBackend } from "@sassafrascleat/engine";
import {
  ATTEMPT_RETENTION_MS,
  type BackendServer,
  GRANT_TTL_MS,
  RENEW_TIMEOUT_MS,
  STREAM_HEARTBEAT_MS,
} from "@sassafrascleat/protocol";
import { type Clock, type Secret, systemClock } from "@sassafrascleat/runtime";
import {
  DEFAULT_MAX_RUNNING,
  DEFAULT_MAX_TRANSFERS,
  DEFAULT_PLAIN_CONCURRENCY,
  DEFAULT_PREFILL_WINDOW_TOKENS,
  DEFAULT_TBT_TARGET_MS,
  DEFAULT_TRANSFER_TIMEOUT_MS,
  DRAIN_LINGER_MS,
  RECONCILE_INTERVAL_MS,
} from "./constants.ts";

/** Options of `createSidecar`. */
export interface SidecarOptions {
  /** The backend server beside this sidecar. */
  backendServer: BackendServer;
  /** Address on which the system listener listens. */
  host: string;
  /**
   * Port of the system listener; 0 lets the operating system choose one.
   * @default 0
   */
  port?: number;
  /** Secrets that the system listener accepts. */
  secrets: readonly Secret[];
  /** The engine; for the roles prefill and decode. */
  engine?: Engine;
  /** The plain service; for the role plain. */
  plain?: PlainBackend;
  /**
   * Target time between tokens, which limits the decode slots, in milliseconds.
   * @default 43
   */
  tbtTargetMs?: number;
  /**
   * Maximum number of concurrent decode requests.
   * @default 20
   */
  maxRunning?: number;
  /**
   * Maximum number of concurrent calls to a plain service.
   * @default 32
   */
  plainConcurrency?: number;
  /**
   * Maximum number of concurrent KV imports.
   * @default 4
   */
  maxTransfers?: number;
  /**
   * Timeout of one KV import, in milliseconds.
   * @default 400
   */
  transferTimeoutMs?: number;
  /**
   * Maximum prompt tokens handed to a prefill engine at once; one larger prompt
   * is allowed.
   * @default 4096
   */
  prefillWindowTokens?: number;
  /**
   * Lifetime of a grant after its slot is ready, in milliseconds.
   * @default 5000
   */
  grantTtlMs?: number;
  /**
   * Time without renewal after which an attempt is cancelled, in milliseconds.
   * @default 2000
   */
  renewGraceMs?: number;
  /**
   * Time for which tombstones and finished answers are kept, in milliseconds.
   * @default 600000
   */
  retentionMs?: number;
  /**
   * Interval between heartbeats on a stream, in milliseconds.
   * @default 200
   */
  heartbeatMs?: number;
  /**
   * Time for which a drain still answers resumes after the last request has
   * ended, in milliseconds.
   * @default 1500
   */
  drainLingerMs?: number;
  /**
   * Interval between checks for requests that only the engine still holds, in
   * milliseconds.
   * @default 5000
   */
  reconcileMs?: number;
  /** @default systemClock */
  clock?: Clock;
}

/** `SidecarOptions` with all defaults applied. */
export type ResolvedSidecarOptions =
  & Required<Omit<SidecarOptions, "engine" | "plain">>
  & Pick<SidecarOptions, "engine" | "plain">;

/** Applies the defaults. */
export function resolveSidecarOptions(
  raw: SidecarOptions,
): ResolvedSidecarOptions {
  return {
    backendServer: raw.backendServer,
    host: raw.host,
    port: raw.port ?? 0,
    secrets: raw.secrets,
    engine: raw.engine,
    plain: raw.plain,
    tbtTargetMs: raw.tbtTargetMs ?? DEFAULT_TBT_TARGET_MS,
    maxRunning: raw.maxRunning ?? DEFAULT_MAX_RUNNING,
    plainConcurrency: raw.plainConcurrency ?? DEFAULT_PLAIN_CONCURRENCY,
    maxTransfers: raw.maxTransfers ?? DEFAULT_MAX_TRANSFERS,
    transferTimeoutMs: raw.transferTimeoutMs ?? DEFAULT_TRANSFER_TIMEOUT_MS,
    prefillWindowTokens: raw.prefillWindowTokens ??
      DEFAULT_PREFILL_WINDOW_TOKENS,
    grantTtlMs: raw.grantTtlMs ?? GRANT_TTL_MS,
    renewGraceMs: raw.renewGraceMs ?? RENEW_TIMEOUT_MS,
    retentionMs: raw.retentionMs ?? ATTEMPT_RETENTION_MS,
    heartbeatMs: raw.heartbeatMs ?? STREAM_HEARTBEAT_MS,
    drainLingerMs: raw.drainLingerMs ?? DRAIN_LINGER_MS,
    reconcileMs: raw.reconcileMs ?? RECONCILE_INTERVAL_MS,
    clock: raw.clock ?? systemClock,
  };
}
