/** Control API of a sidecar. */
import {
  BackendRole,
  type CancelReply,
  type CancelRequest,
  CancelState,
  type DrainReply,
  type DrainRequest,
  type OrderReply,
  type OrderRequest,
  type PrefillReply,
  type PrefillRequest,
  RefusalReason,
  type RenewReply,
  type RenewRequest,
  type ReserveReply,
  type ReserveRequest,
  type SidecarControl,
  type SidecarStatus,
} from "@sassafrascleat/protocol";
import { createLogger } from "@sassafrascleat/runtime";
import { attemptId, AttemptState } from "./attempt_ledger.ts";
import type { SidecarState } from "./sidecar_state.ts";
import { ReservationResult } from "./capacity.ts";
import type { Reservation } from "./reservation.ts";
import { MAX_RETRY_AFTER_MS } from "./constants.ts";
import { OrderForwarder } from "./order_forwarder.ts";
import type { PlainCalls } from "./plain_calls.ts";
import { PrefillCalls } from "./prefill_calls.ts";

const log = createLogger("sidecar:control");

/** Implements the control calls on the shared sidecar state. */
export class ControlCalls implements SidecarControl {
  readonly #state: SidecarState;
  readonly #prefills: PrefillCalls;
  readonly #orders: OrderForwarder;
  readonly #plain: PlainCalls | undefined;

  constructor(state: SidecarState, plain: PlainCalls | undefined) {
    this.#state = state;
    this.#plain = plain;
    this.#prefills = new PrefillCalls(state);
    this.#orders = new OrderForwarder(
      state.engineParts?.engine,
      state.incarnation,
      (req) => state.applyOrder(req),
    );
  }

  async reserve(req: ReserveRequest): Promise<ReserveReply> {
    const reply = this.#reserve(req);
    const result = reply.granted ? "granted" : reply.reason;
    this.#state.metrics.reservations.inc({ result });
    log("reserve", { request: attemptId(req), result });
    return reply;
  }

  prefill(req: PrefillRequest): Promise<PrefillReply> {
    return this.#prefills.prefill(req);
  }

  async renew(req: RenewRequest): Promise<RenewReply> {
    const { attempts, cfg, incarnation } = this.#state;
    const now = cfg.clock.now();
    const missing = req.attempts.filter((ref) =>
      !attempts.renew(ref, req.entryId, now)
    );
    return { incarnation, missing, hint: this.#state.hint() };
  }

  async cancel(req: CancelRequest): Promise<CancelReply> {
    const { attempts, cfg, incarnation } = this.#state;
    const found = attempts.cancel(req, cfg.clock.now());
    const ran = this.#plain?.started(req.requestId) ?? false;
    const state = ran && found === CancelState.NotStarted
      ? CancelState.Running
      : found;
    this.#discardPrefillResult(req, state);
    log("cancel", { request: attemptId(req), state });
    return { incarnation, state };
  }

  async drain(req: DrainRequest): Promise<DrainReply> {
    this.#state.leaving = req.leaving;
    const { incarnation, inFlight, leaving } = this.#state;
    log("drain", { leaving, in_flight: inFlight });
    return { incarnation, leaving, inFlight };
  }

  order(req: OrderRequest): Promise<OrderReply> {
    return this.#orders.order(req);
  }

  async status(): Promise<SidecarStatus> {
    const { cfg, incarnation, inFlight, leaving } = this.#state;
    return {
      backendServer: { ...cfg.backendServer, role: this.#state.role },
      incarnation,
      leaving,
      hint: this.#state.hint(),
      inFlight,
      lastOrder: this.#orders.last,
    };
  }

  /**
   * Frees the result of a finished prefill early when it is cancelled, since it
   * won't be used.
   */
  #discardPrefillResult(req: CancelRequest, state: CancelState): void {
    const { engineParts, role } = this.#state;
    if (role !== BackendRole.Prefill) return;
    if (state !== CancelState.Finished) return;
    void engineParts?.canceller.cancel(attemptId(req));
  }

  #reserve(req: ReserveRequest): ReserveReply {
    const { attempts, capacity, cfg } = this.#state;
    const refusal = attempts.refusal(req);
    if (refusal) return this.#refused(refusal);
    const known = attempts.find(req);
    if (known) {
      const reservation = capacity.find(attemptId(req));
      const isStillReserved = known.state === AttemptState.Reserved &&
        reservation;
      if (!isStillReserved) return this.#refused(RefusalReason.Superseded);
      attempts.renew(req, req.entryId, cfg.clock.now());
      return this.#granted(reservation, capacity.readyInMs(reservation));
    }
    const unavailable = this.#unavailableReason();
    if (unavailable) return this.#refused(unavailable);
    return this.#reserveCapacity(req);
  }

  /** Returns why new reservations are refused now; undefined if they aren't. */
  #unavailableReason(): RefusalReason | undefined {
    const { leaving, ready, role } = this.#state;
    if (leaving) return RefusalReason.Leaving;
    const wrongRole = role === BackendRole.Prefill;
    return !ready || wrongRole ? RefusalReason.EngineDown : undefined;
  }

  #reserveCapacity(req: ReserveRequest): ReserveReply {
    const { attempts, capacity, cfg } = this.#state;
    const now = cfg.clock.now();
    attempts.supersede(req, now);
    const reply = capacity.reserve(
      {
        id: attemptId(req),
        requestClass: req.requestClass,
        promptTokens: req.promptTokens,
        expectedTokens: req.expectedOutputTokens,
        maxTokens: req.maxOutputTokens,
      },
      req.maxWaitMs,
      now,
    );
    if (reply.result === ReservationResult.TooLarge) {
      return this.#refused(RefusalReason.TooLarge);
    }
    if (reply.result === ReservationResult.Full) {
      return this.#refused(RefusalReason.Full, reply.retryAfterMs);
    }
    attempts.admit(req, req.entryId, now);
    return this.#granted(reply.reservation, reply.readyInMs);
  }

  #granted(reservation: Reservation, readyInMs: number): ReserveReply {
    const { cfg, incarnation } = this.#state;
    const expiresInMs = Math.max(0, reservation.expiresAtMs - cfg.clock.now());
    const hint = this.#state.hint();
    return { granted: true, incarnation, readyInMs, expiresInMs, hint };
  }

  #refused(reason: RefusalReason, retryAfterMs = 0): ReserveReply {
    const { incarnation } = this.#state;
    const hint = this.#state.hint();
    return {
      granted: false,
      incarnation,
      reason,
      retryAfterMs: Math.min(retryAfterMs, MAX_RETRY_AFTER_MS),
      hint,
    };
  }
}
