/**
 * Monitors the engine: estimates step times and rates from its delayed load
 * reports, tracks whether it can be reached, and cancels orphaned requests,
 * that is, those left from before this sidecar started and those that the
 * sidecar doesn't track.
 */
import type { Engine, EngineLoad } from "@sassafrascleat/engine";
import { createLogger, runPeriodically } from "@sassafrascleat/runtime";
import { CacheView } from "./cache_view.ts";
import {
  CACHE_POLL_INTERVAL_MS,
  INITIAL_PREFILL_RATE,
  LOAD_FAILURES_BEFORE_DOWN,
  LOAD_POLL_INTERVAL_MS,
  STARTUP_CLEANUP_TIMEOUT_MS,
} from "./constants.ts";
import type { EngineCanceller } from "./engine_canceller.ts";
import { settleWithin } from "./settle_within.ts";
import { StepTimeModel } from "./step_model.ts";

const log = createLogger("sidecar:engine");

/** Options of an `EngineMonitor`. */
export interface EngineMonitorOptions {
  engine: Engine;
  canceller: EngineCanceller;
  reconcileMs: number;
  /** Whether to poll the events of the engine's prefix cache. */
  hasPrefixCache(): boolean;
  /** Whether the sidecar tracks a request that the engine holds. */
  isTracked(id: string): boolean;
}

/** Monitors one engine. */
export class EngineMonitor {
  readonly steps = new StepTimeModel();
  readonly cache: CacheView;
  readonly #opts: EngineMonitorOptions;
  #load: EngineLoad | undefined;
  #failures = 0;
  #isCleanedUp = false;
  #cleanup: Promise<void> | undefined;
  #orphanCandidates = new Set<string>();

  constructor(opts: EngineMonitorOptions) {
    this.#opts = opts;
    this.cache = new CacheView(opts.engine);
  }

  /**
   * Whether the engine can be reached and holds no request from before the
   * start.
   */
  get ready(): boolean {
    return this.#isCleanedUp && this.#failures < LOAD_FAILURES_BEFORE_DOWN;
  }

  /** Total number of engine memory pieces; 0 before the first load report. */
  get totalPieces(): number {
    return this.#load?.totalPieces ?? 0;
  }

  get prefillRate(): number {
    return this.#load?.prefillRate || INITIAL_PREFILL_RATE;
  }

  /** Predicts the time of a step with `batch` requests, in milliseconds. */
  stepMs(batch: number): number {
    return this.steps.stepMs(batch) || (this.#load?.stepMs ?? 0);
  }

  /** Tries to clean the engine up, then polls it until `signal` aborts. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#pollLoad();
    await settleWithin(this.#cleanUp(), STARTUP_CLEANUP_TIMEOUT_MS, signal);
    void runPeriodically(
      CACHE_POLL_INTERVAL_MS,
      signal,
      () => this.#pollCache(),
    );
    void runPeriodically(LOAD_POLL_INTERVAL_MS, signal, () => this.#pollLoad());
    void runPeriodically(
      this.#opts.reconcileMs,
      signal,
      () => this.#cancelOrphans(),
    );
  }

  /**
   * Treats the engine as down until a load poll succeeds, after a call couldn't
   * reach it.
   */
  markUnreachable(): void {
    if (this.#failures >= LOAD_FAILURES_BEFORE_DOWN) return;
    log("engine_suspected");
    this.#failures = LOAD_FAILURES_BEFORE_DOWN;
    void this.#pollLoad();
  }

  async #pollCache(): Promise<void> {
    if (this.#opts.hasPrefixCache()) await this.cache.poll();
  }

  async #pollLoad(): Promise<void> {
    const load = await this.#opts.engine.load();
    if (!load) {
      this.#failures++;
      if (this.#failures === LOAD_FAILURES_BEFORE_DOWN) log("engine_down");
      return;
    }
    this.#failures = 0;
    this.#load = load;
    this.steps.observe(load.running, load.stepMs);
    if (!this.#isCleanedUp) void this.#cleanUp();
  }

  /**
   * Cancels all requests that the engine holds from before this sidecar
   * started.
   */
  #cleanUp(): Promise<void> {
    this.#cleanup ??= this.#cancelHeldRequests().finally(() =>
      this.#cleanup = undefined
    );
    return this.#cleanup;
  }

  async #cancelHeldRequests(): Promise<void> {
    const ids = await this.#opts.engine.held();
    if (!ids) return;
    await Promise.all(ids.map((id) => this.#opts.canceller.cancel(id)));
    log("engine_cleaned", { cancelled: ids.length });
    this.#isCleanedUp = true;
  }

  /**
   * Cancels requests that the engine holds untracked in two consecutive checks.
   */
  async #cancelOrphans(): Promise<void> {
    if (!this.#isCleanedUp) return;
    const ids = await this.#opts.engine.held();
    if (!ids) return;
    const unknown = ids.filter((id) => !this.#opts.isTracked(id));
    for (const id of unknown.filter((id) => this.#orphanCandidates.has(id))) {
      log("engine_orphan", { request: id });
      void this.#opts.canceller.cancel(id);
    }
    this.#orphanCandidates = new Set(unknown);
  }
}
