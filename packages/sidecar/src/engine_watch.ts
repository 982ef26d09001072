/**
 * Watches the engine: learns step times and rates from its lagging load
 * reports, tells whether it can be reached, and cancels what it holds for
 * nobody, first of all what it held before this sidecar started.
 */
import type { Engine, EngineLoad } from "@sassafrascleat/engine";
import { createLogger, every } from "@sassafrascleat/runtime";
import { CacheView } from "./cache_view.ts";
import {
  CACHE_POLL_MS,
  INITIAL_PREFILL_RATE,
  LOAD_FAILURES_DOWN,
  LOAD_POLL_MS,
  STARTUP_CLEAN_MS,
} from "./constants.ts";
import type { EngineCanceller } from "./engine_canceller.ts";
import { settleWithin } from "./settle_within.ts";
import { StepModel } from "./step_model.ts";

const log = createLogger("sidecar:engine");

/** What a watch works with. */
export interface EngineWatchOptions {
  engine: Engine;
  canceller: EngineCanceller;
  reconcileMs: number;
  /** Whether the engine keeps a prefix cache that is worth following. */
  caches(): boolean;
  /** Whether the sidecar has a use for the request that the engine holds. */
  knows(id: string): boolean;
}

/** The sidecar's view of its engine. */
export class EngineWatch {
  readonly steps = new StepModel();
  readonly cache: CacheView;
  readonly #opts: EngineWatchOptions;
  #load: EngineLoad | undefined;
  #failures = 0;
  #clean = false;
  #cleaning: Promise<void> | undefined;
  #suspects = new Set<string>();

  constructor(opts: EngineWatchOptions) {
    this.#opts = opts;
    this.cache = new CacheView(opts.engine);
  }

  /** True once the engine is reached and holds nothing from before. */
  get ready(): boolean {
    return this.#clean && this.#failures < LOAD_FAILURES_DOWN;
  }

  /** Pieces of engine memory; 0 before the first report. */
  get totalPieces(): number {
    return this.#load?.totalPieces ?? 0;
  }

  get prefillRate(): number {
    return this.#load?.prefillRate || INITIAL_PREFILL_RATE;
  }

  /** Predicted time of a step with `batch` requests, in milliseconds. */
  stepMs(batch: number): number {
    return this.steps.stepMs(batch) || (this.#load?.stepMs ?? 0);
  }

  /** Cleans the engine up once and begins to watch until `signal` aborts. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#poll();
    await settleWithin(this.#cleanUp(), STARTUP_CLEAN_MS, signal);
    void every(CACHE_POLL_MS, signal, () => this.#pollCache());
    void every(LOAD_POLL_MS, signal, () => this.#poll());
    void every(this.#opts.reconcileMs, signal, () => this.#reconcile());
  }

  /** A call found the engine unreachable: closed until a poll succeeds. */
  suspect(): void {
    if (this.#failures >= LOAD_FAILURES_DOWN) return;
    log("engine_suspected");
    this.#failures = LOAD_FAILURES_DOWN;
    void this.#poll();
  }

  async #pollCache(): Promise<void> {
    if (this.#opts.caches()) await this.cache.poll();
  }

  async #poll(): Promise<void> {
    const load = await this.#opts.engine.load();
    if (!load) {
      this.#failures++;
      if (this.#failures === LOAD_FAILURES_DOWN) log("engine_down");
      return;
    }
    this.#failures = 0;
    this.#load = load;
    this.steps.observe(load.running, load.stepMs);
    if (!this.#clean) void this.#cleanUp();
  }

  /** Cancels everything that the engine held before this sidecar started. */
  #cleanUp(): Promise<void> {
    this.#cleaning ??= this.#cancelAll().finally(() =>
      this.#cleaning = undefined
    );
    return this.#cleaning;
  }

  async #cancelAll(): Promise<void> {
    const ids = await this.#opts.engine.held();
    if (!ids) return;
    await Promise.all(ids.map((id) => this.#opts.canceller.cancel(id)));
    log("engine_cleaned", { cancelled: ids.length });
    this.#clean = true;
  }

  /** Cancels what the engine holds for nobody at two looks in a row. */
  async #reconcile(): Promise<void> {
    if (!this.#clean) return;
    const ids = await this.#opts.engine.held();
    if (!ids) return;
    const unknown = ids.filter((id) => !this.#opts.knows(id));
    for (const id of unknown.filter((id) => this.#suspects.has(id))) {
      log("engine_orphan", { request: id });
      void this.#opts.canceller.cancel(id);
    }
    this.#suspects = new Set(unknown);
  }
}
