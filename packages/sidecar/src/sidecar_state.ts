/** State that all calls of a sidecar share. */
import type { Engine } from "@sassafrascleat/engine";
import {
  BackendRole,
  type LoadHint,
  OrderKind,
  type OrderRequest,
} from "@sassafrascleat/protocol";
import {
  attemptId,
  AttemptLedger,
  type AttemptRecord,
  AttemptState,
  parseAttemptId,
} from "./attempt_ledger.ts";
import { CapacityLedger } from "./capacity.ts";
import { type Reservation, ReservationState } from "./reservation.ts";
import {
  INITIAL_CALL_DURATION_MS,
  MAX_LEDGER_ATTEMPTS,
  OVERDUE_OUTPUT_RATIO,
} from "./constants.ts";
import { EngineCanceller } from "./engine_canceller.ts";
import { EngineMonitor } from "./engine_monitor.ts";
import { SidecarMetrics } from "./metrics.ts";
import type { ResolvedSidecarOptions } from "./options.ts";
import { PrefillScheduler } from "./prefill_scheduler.ts";

/** The engine and the components that only sidecars with an engine have. */
export interface EngineParts {
  engine: Engine;
  canceller: EngineCanceller;
  watch: EngineMonitor;
  prefillScheduler: PrefillScheduler;
}

/** Shared state of one sidecar. */
export class SidecarState {
  readonly cfg: ResolvedSidecarOptions;
  readonly incarnation: string;
  readonly metrics = new SidecarMetrics();
  readonly attempts: AttemptLedger;
  readonly capacity: CapacityLedger;
  readonly engineParts: EngineParts | undefined;
  leaving = false;
  role: BackendRole;
  /** Exponentially weighted mean duration of plain calls, in milliseconds. */
  meanCallMs = INITIAL_CALL_DURATION_MS;

  constructor(
    cfg: ResolvedSidecarOptions,
    incarnation: string,
    signal: AbortSignal,
  ) {
    this.cfg = cfg;
    this.incarnation = incarnation;
    this.role = cfg.backendServer.role;
    this.attempts = new AttemptLedger({
      retentionMs: cfg.retentionMs,
      capacity: MAX_LEDGER_ATTEMPTS,
      onEnd: (record, previousState) => this.#onEnd(record, previousState),
    });
    this.capacity = new CapacityLedger({
      totalPieces: () => this.#totalPieces(),
      slots: () => this.slots(),
      grantTtlMs: cfg.grantTtlMs,
      remainingMs: (reservation) => this.#remainingMs(reservation),
    });
    this.engineParts = cfg.engine && this.#createParts(cfg.engine, signal);
  }

  /** False while the engine can't be reached or hasn't been cleaned up. */
  get ready(): boolean {
    return this.engineParts?.watch.ready ?? true;
  }

  /** Number of requests that a drain waits for. */
  get inFlight(): number {
    const queuedPrefills = this.engineParts?.prefillScheduler.queued ?? 0;
    const runningPrefills = this.engineParts?.prefillScheduler.running ?? 0;
    return this.capacity.running + this.capacity.reserved + queuedPrefills +
      runningPrefills;
  }

  /**
   * Returns the number of slots that meet the target time between tokens now,
   * or the concurrency limit of a plain service.
   */
  slots(): number {
    const { tbtTargetMs, maxRunning, plainConcurrency } = this.cfg;
    if (!this.engineParts) return plainConcurrency;
    return this.engineParts.watch.steps.slots(tbtTargetMs, maxRunning);
  }

  /** Returns the current load. */
  hint(): LoadHint {
    const prefillScheduler = this.engineParts?.prefillScheduler;
    const stepMs = this.engineParts?.watch.stepMs(this.capacity.running) ?? 0;
    const prefill = this.role === BackendRole.Prefill;
    const steps = stepMs > 0 ? 1000 / stepMs : 0;
    return {
      running: prefill ? prefillScheduler?.running ?? 0 : this.capacity.running,
      reserved: prefill
        ? prefillScheduler?.queued ?? 0
        : this.capacity.reserved,
      slots: this.slots(),
      freePieces: this.engineParts ? this.capacity.freePieces : 0,
      totalPieces: this.engineParts ? this.#totalPieces() : 0,
      queuedTokens: prefillScheduler?.queuedTokens ?? 0,
      urgentTokens: prefillScheduler?.urgentTokens ?? 0,
      rate: prefill ? prefillScheduler?.rate ?? 0 : steps,
      leaving: this.leaving,
    };
  }

  /** Adds the duration of a plain call to the mean. */
  observeCall(ms: number): void {
    this.meanCallMs = this.meanCallMs * 0.9 + ms * 0.1;
  }

  /** Adopts the engine's new role after an order has changed it. */
  applyOrder(req: OrderRequest): void {
    if (req.kind !== OrderKind.ChangeRole) return;
    const role = Object.values(BackendRole).find((r) => r === req.target);
    if (role) this.role = role;
  }

  /**
   * Whether `id` belongs to an attempt that isn't cancelled or to a pending
   * cancel.
   */
  isTracked(id: string): boolean {
    const record = this.attempts.find(parseAttemptId(id));
    const isActive = record && record.state !== AttemptState.Cancelled;
    return isActive || this.engineParts?.canceller.has(id) || false;
  }

  #createParts(engine: Engine, signal: AbortSignal): EngineParts {
    const { clock, reconcileMs, prefillWindowTokens } = this.cfg;
    const canceller = new EngineCanceller(engine, signal);
    const isTracked = (id: string) => this.isTracked(id);
    const hasPrefixCache = () => this.role === BackendRole.Prefill;
    const watch = new EngineMonitor({
      engine,
      canceller,
      reconcileMs,
      hasPrefixCache,
      isTracked,
    });
    const { cache } = watch;
    const prefillScheduler = new PrefillScheduler({
      engine,
      canceller,
      clock,
      windowTokens: prefillWindowTokens,
      costOf: (req) =>
        Math.max(
          1,
          req.promptTokens + req.generated.length -
            cache.cachedTokens(req.pieceHashes),
        ),
      assumedRate: () => watch.prefillRate,
      onUnreachable: () => watch.markUnreachable(),
    });
    return { engine, canceller, watch, prefillScheduler };
  }

  /**
   * Releases the reservation of a cancelled attempt if it was not running; a
   * running attempt releases it when its run ends.
   */
  #onEnd(record: AttemptRecord, previousState: AttemptState): void {
    if (previousState !== AttemptState.Reserved) return;
    this.capacity.release(attemptId(record));
  }

  #totalPieces(): number {
    return this.engineParts ? this.engineParts.watch.totalPieces : Infinity;
  }

  #remainingMs(reservation: Reservation): number {
    if (!this.engineParts) return this.meanCallMs;
    if (reservation.state === ReservationState.Releasing) return 0;
    const answer = reservation.generatedTokens + reservation.producedTokens;
    const expected = reservation.expectedTokens - answer;
    const overdue = answer * OVERDUE_OUTPUT_RATIO;
    const tokens = Math.max(1, expected > 0 ? expected : overdue);
    return tokens * this.engineParts.watch.stepMs(this.capacity.running);
  }
}
