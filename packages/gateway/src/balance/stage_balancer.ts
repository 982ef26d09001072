/**
 * Changes the stages of engines by orders. Of all entries only the holder of a
 * lease gives orders; its fencing token is checked by the engine. The lease
 * tells the others which change is under way, so that nobody orders it twice.
 */
import { type Clock, type Logger, sleep } from "@sassafrascleat/runtime";
import { type Backend, EngineStage } from "../backends/backend.ts";
import type { BackendDirectory } from "../backends/directory.ts";
import type { Service } from "../config/routing_table.ts";
import { planStageChange, type StageWork } from "../decide/stage_plan.ts";

/** The right to give orders for a short time. */
export interface OrderLease {
  /** Greater than every token given out before. */
  fencingToken: number;
  /** Orders may be sent until then, in milliseconds of the process clock. */
  validUntilMs: number;
}

/** A change that a lease was taken for, as other entries see it. */
export interface OrderPurpose {
  engineId: string;
  stage: EngineStage;
  /** Nobody else orders for this long, in milliseconds. */
  settleMs: number;
}

/** Where leases are kept. */
export interface OrderLeases {
  /** Takes the lease for one order; undefined while another one holds. */
  acquire(
    purpose: OrderPurpose,
    signal: AbortSignal,
  ): Promise<OrderLease | undefined>;
}

/** How an order ended. */
export enum OrderEnd {
  Accepted = "accepted",
  Rejected = "rejected",
  /** No answer: it may be carried out later. */
  Unknown = "unknown",
}

/** Sends orders to engines. */
export interface StageOrders {
  order(
    engine: Backend,
    stage: EngineStage,
    fencingToken: number,
    signal: AbortSignal,
  ): Promise<OrderEnd>;
}

/** Options of a balancer. */
export interface StageBalancerOptions {
  clock: Clock;
  log: Logger;
  directory: BackendDirectory;
  leases: OrderLeases;
  orders: StageOrders;
  services: () => Iterable<Service>;
  workOf: (service: string) => StageWork;
  /** Spreads the entries' attempts, in milliseconds. */
  jitterMs: () => number;
}

const CHECK_MS = 500;
/** A difference has to last this long while requests are served, in ms. */
const LASTING_MS = 8_000;
/** Enough for the store to list every engine after a start, in milliseconds. */
const FIRST_LASTING_MS = 700;
/** Time beyond a change of stage until the store lists it, in milliseconds. */
const LISTING_MS = 3_000;

/** Owner of the decisions about stages. */
export class StageBalancer {
  readonly #options: StageBalancerOptions;
  readonly #wantedSince = new Map<string, number>();
  readonly #settledAt = new Map<string, number>();

  constructor(options: StageBalancerOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_MS + this.#options.jitterMs(), signal);
      for (const service of this.#options.services()) {
        if (service.engine) await this.#check(service, signal);
      }
    }
  }

  async #check(service: Service, signal: AbortSignal): Promise<void> {
    const { clock, directory, workOf } = this.#options;
    const work = workOf(service.name);
    const change = planStageChange({
      engines: directory.ready(service.name),
      work,
    });
    if (!change || signal.aborted) {
      this.#wantedSince.delete(service.name);
      return;
    }
    const nowMs = clock.now();
    if (nowMs < (this.#settledAt.get(service.name) ?? 0)) return;
    const sinceMs = this.#wantedSince.get(service.name) ?? nowMs;
    this.#wantedSince.set(service.name, sinceMs);
    const idle = work.readMs + work.decodeMs === 0;
    if (nowMs - sinceMs < (idle ? FIRST_LASTING_MS : LASTING_MS)) return;
    await this.#order(service, change.engine, change.stage, signal);
  }

  async #order(
    service: Service,
    engine: Backend,
    stage: EngineStage,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, leases, log, orders } = this.#options;
    const settleMs = (service.engine?.stageSwitchMs ?? 0) + LISTING_MS;
    const purpose = { engineId: engine.id, stage, settleMs };
    const lease = await leases.acquire(purpose, signal);
    if (!lease || signal.aborted) return;
    this.#settledAt.set(service.name, clock.now() + settleMs);
    this.#wantedSince.delete(service.name);
    if (clock.now() > lease.validUntilMs) {
      log("order_lease_expired", { backend: engine.id });
      return;
    }
    const end = await orders.order(engine, stage, lease.fencingToken, signal);
    log("stage_order", {
      backend: engine.id,
      service: service.name,
      stage,
      end,
      fencing_token: lease.fencingToken,
    });
  }
}
