/**
 * Keeps what is known of backend servers up to date: what each says of itself in
 * its responses, and what the directory reports about its entry.
 */
import {
  type Backend,
  BackendState,
  incarnationOf,
} from "./backends/backend.ts";
import { DirectoryChange } from "./backends/directory.ts";
import type { ResponseHead } from "./http/upstream.ts";
import type { RunContext } from "./runs/run_context.ts";

/** Applies what one router process observes of backend servers. */
export class ServerObserver {
  readonly #ctx: RunContext;

  constructor(ctx: RunContext) {
    this.#ctx = ctx;
  }

  /** Evaluates the head of a response of a backend server. */
  observeResponse(
    backend: Backend,
    { status, headers, ageMs }: ResponseHead,
  ): void {
    const { codec, directory, health, pace } = this.#ctx;
    const key = incarnationOf(backend);
    if (health.isSilent(key)) pace.resume(key);
    health.markResponsive(key);
    const state = codec.parseServerState(status, headers);
    if (state.leaving) directory.markDraining(backend);
    if (state.pauseMs !== undefined) this.#pause(backend, state.pauseMs);
    this.#observeRateLimit(backend, state.rateLimitPerSecond, ageMs);
  }

  /** Applies a change of a backend server's entry. */
  observeChange(change: DirectoryChange, backend: Backend): void {
    const { activeStreams, health, pace } = this.#ctx;
    const key = incarnationOf(backend);
    if (change === DirectoryChange.Removed) this.#forget(backend);
    else if (backend.state === BackendState.Ready) pace.observeReady(backend);
    if (change === DirectoryChange.Joined) return;
    if (change === DirectoryChange.Changed) return health.resume(key);
    const streams = activeStreams.get(key) ?? [];
    for (const stream of streams) stream.onEngineDraining();
  }

  #pause(backend: Backend, forMs: number): void {
    const { log, rateLimits } = this.#ctx;
    if (!rateLimits.pause(incarnationOf(backend), forMs)) return;
    log("backend_paused", { backend: backend.id, for_ms: forMs });
  }

  #observeRateLimit(
    backend: Backend,
    perSecond: number | undefined,
    ageMs: number,
  ): void {
    const { clock, log, rateLimits } = this.#ctx;
    const sentAtMs = clock.now() - ageMs;
    const key = incarnationOf(backend);
    if (!rateLimits.observe(key, perSecond, sentAtMs)) return;
    log("backend_rate_limit", { backend: backend.id, per_second: perSecond });
  }

  #forget(backend: Backend): void {
    const { engineLoads, health, liveness, pace, rateLimits, upstream } =
      this.#ctx;
    const key = incarnationOf(backend);
    health.forget(key);
    pace.forget(key);
    engineLoads.forget(key);
    rateLimits.forget(key);
    liveness.forget(backend);
    upstream.retire(backend);
  }
}
