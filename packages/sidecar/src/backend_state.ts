/** The parts that every call of a sidecar works on. */
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
import { type Place, PlaceState } from "./place.ts";
import {
  INITIAL_CALL_MS,
  LEDGER_CAPACITY,
  OVERDUE_SHARE,
} from "./constants.ts";
import { EngineCanceller } from "./engine_canceller.ts";
import { EngineWatch } from "./engine_watch.ts";
import { SidecarMetrics } from "./metrics.ts";
import type { ResolvedSidecarOptions } from "./options.ts";
import { PrefillScheduler } from "./prefill_scheduler.ts";

/** The engine and what only engines need. */
export interface EngineParts {
  engine: Engine;
  canceller: EngineCanceller;
  watch: EngineWatch;
  prefills: PrefillScheduler;
}

/** State of one sidecar, owned by its event loop. */
export class BackendState {
  readonly cfg: ResolvedSidecarOptions;
  readonly incarnation: string;
  readonly metrics = new SidecarMetrics();
  readonly attempts: AttemptLedger;
  readonly capacity: CapacityLedger;
  readonly parts: EngineParts | undefined;
  leaving = false;
  role: BackendRole;
  /** Mean duration of plain calls, in milliseconds. */
  callMs = INITIAL_CALL_MS;

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
      capacity: LEDGER_CAPACITY,
      onEnd: (record, before) => this.#onEnd(record, before),
    });
    this.capacity = new CapacityLedger({
      totalPieces: () => this.#totalPieces(),
      slots: () => this.slots(),
      grantTtlMs: cfg.grantTtlMs,
      remainingMs: (place) => this.#remainingMs(place),
    });
    this.parts = cfg.engine && this.#createParts(cfg.engine, signal);
  }

  /** False while the engine can't be reached or isn't cleaned up yet. */
  get ready(): boolean {
    return this.parts?.watch.ready ?? true;
  }

  /** Work that a drain waits for. */
  get inFlight(): number {
    const queued = this.parts?.prefills.queued ?? 0;
    const working = this.parts?.prefills.working ?? 0;
    return this.capacity.running + this.capacity.reserved + queued + working;
  }

  /** Slots that the target between tokens allows now. */
  slots(): number {
    const { tbtTargetMs, maxRunning, plainConcurrency } = this.cfg;
    if (!this.parts) return plainConcurrency;
    return this.parts.watch.steps.slots(tbtTargetMs, maxRunning);
  }

  /** The load as it is now. */
  hint(): LoadHint {
    const prefills = this.parts?.prefills;
    const stepMs = this.parts?.watch.stepMs(this.capacity.running) ?? 0;
    const prefill = this.role === BackendRole.Prefill;
    const steps = stepMs > 0 ? 1000 / stepMs : 0;
    return {
      running: prefill ? prefills?.working ?? 0 : this.capacity.running,
      reserved: prefill ? prefills?.queued ?? 0 : this.capacity.reserved,
      slots: this.slots(),
      freePieces: this.parts ? this.capacity.freePieces : 0,
      totalPieces: this.parts ? this.#totalPieces() : 0,
      queuedTokens: prefills?.queuedTokens ?? 0,
      urgentTokens: prefills?.urgentTokens ?? 0,
      rate: prefill ? prefills?.rate ?? 0 : steps,
      leaving: this.leaving,
    };
  }

  /** Records how long a plain call took. */
  observeCall(ms: number): void {
    this.callMs = this.callMs * 0.9 + ms * 0.1;
  }

  /** Follows the engine into its new role. */
  onOrder(req: OrderRequest): void {
    if (req.kind !== OrderKind.ChangeRole) return;
    const role = Object.values(BackendRole).find((r) => r === req.target);
    if (role) this.role = role;
  }

  /** Whether the sidecar has a use for what the engine holds under `id`. */
  knows(id: string): boolean {
    const record = this.attempts.find(parseAttemptId(id));
    const open = record && record.state !== AttemptState.Cancelled;
    return open || this.parts?.canceller.has(id) || false;
  }

  #createParts(engine: Engine, signal: AbortSignal): EngineParts {
    const { clock, reconcileMs, prefillWindowTokens } = this.cfg;
    const canceller = new EngineCanceller(engine, signal);
    const knows = (id: string) => this.knows(id);
    const caches = () => this.role === BackendRole.Prefill;
    const watch = new EngineWatch({
      engine,
      canceller,
      reconcileMs,
      caches,
      knows,
    });
    const { cache } = watch;
    const prefills = new PrefillScheduler({
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
      onUnreachable: () => watch.suspect(),
    });
    return { engine, canceller, watch, prefills };
  }

  /** A reserved attempt gives its place back at once; a running one later. */
  #onEnd(record: AttemptRecord, before: AttemptState): void {
    if (before !== AttemptState.Reserved) return;
    this.capacity.release(attemptId(record));
  }

  #totalPieces(): number {
    return this.parts ? this.parts.watch.totalPieces : Infinity;
  }

  #remainingMs(place: Place): number {
    if (!this.parts) return this.callMs;
    if (place.state === PlaceState.Releasing) return 0;
    const answer = place.generatedTokens + place.producedTokens;
    const expected = place.expectedTokens - answer;
    const overdue = answer * OVERDUE_SHARE;
    const tokens = Math.max(1, expected > 0 ? expected : overdue);
    return tokens * this.parts.watch.stepMs(this.capacity.running);
  }
}
