/**
 * Changes the stages of engines by orders. Of all entries only the holder of a
 * lease gives orders; its fencing token is checked by the engine. The lease
 * tells the others which change is under way, so that nobody orders it twice.
 */
import { type Clock, type Logger, sleep } from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  type EngineStage,
} from "../backends/backend.ts";
import type { BackendDirectory } from "../backends/directory.ts";
import type { Service } from "../config/routing_table.ts";
import {
  planStageChanges,
  type StageChange,
  type StageWork,
} from "../decide/stage_plan.ts";

/** The right to give orders for a short time. */
export interface OrderLease {
  /** Greater than every token given out before. */
  fencingToken: number;
  /** Orders may be sent until then, in milliseconds of the process clock. */
  validUntilMs: number;
}

/** Changes that a lease was taken for, as other entries see it. */
export interface OrderPurpose {
  engineIds: readonly string[];
  stage: EngineStage;
  /** Nobody else orders for this long, in milliseconds. */
  settleMs: number;
}

/** Where leases are kept. */
export interface OrderLeases {
  /**
   * Learns who holds the lease, so that it can be taken at once when it was
   * seen for long enough. Hands back what it was taken for when that is new.
   */
  observe(signal: AbortSignal): Promise<OrderPurpose | undefined>;
  /** Takes the lease for a few orders; undefined while another one holds. */
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
  /** Generations that this entry runs at an engine. */
  loadOf: (engine: Backend) => number;
  /** An engine takes no work for a while, since its stage changes. */
  setAside: (engine: Backend, forMs: number) => void;
  /** Spreads the entries' attempts, in milliseconds. */
  jitterMs: () => number;
}

const CHECK_MS = 500;
/** Pause between two looks at the lease, in milliseconds. */
const OBSERVE_MS = 1_000;
/** A difference has to last this long while requests are served, in ms. */
const LASTING_MS = 8_000;
/** The same while no engine is left at a stage: those lost may be back soon. */
const NONE_LASTING_MS = 3_500;
/** No engine has joined for this long after a start, in milliseconds. */
const FIRST_LASTING_MS = 1_500;
/** Share of a service's engines that change at once while it is used. */
const MOST_SHARE = 0.1;
/** Time beyond a change of stage until the store lists it, in milliseconds. */
const LISTING_MS = 3_000;

/** Owner of the decisions about stages. */
export class StageBalancer {
  readonly #options: StageBalancerOptions;
  readonly #wantedSince = new Map<
    string,
    { members: string; sinceMs: number }
  >();
  readonly #settledAt = new Map<string, number>();
  #observedAtMs = -Infinity;

  constructor(options: StageBalancerOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_MS + this.#options.jitterMs(), signal);
      const services = [...this.#options.services()].filter((it) => it.engine);
      if (services.length > 0) await this.#observe(signal);
      for (const service of services) await this.#check(service, signal);
    }
  }

  async #observe(signal: AbortSignal): Promise<void> {
    const { clock, directory, leases, setAside } = this.#options;
    const nowMs = clock.now();
    if (nowMs - this.#observedAtMs < OBSERVE_MS) return;
    this.#observedAtMs = nowMs;
    const purpose = await leases.observe(signal);
    if (!purpose) return;
    for (const id of purpose.engineIds) {
      const engine = directory.get(id);
      if (!engine || engine.stage === purpose.stage) continue;
      setAside(engine, purpose.settleMs);
    }
  }

  async #check(service: Service, signal: AbortSignal): Promise<void> {
    const { clock, directory, loadOf, workOf } = this.#options;
    const work = workOf(service.name);
    const idle = work.readMs + work.decodeMs === 0;
    const engines = directory.ready(service.name);
    const most = idle
      ? engines.length
      : Math.max(1, Math.floor(engines.length * MOST_SHARE));
    const changes = planStageChanges({ engines, work, loadOf }, most);
    if (changes.length === 0 || signal.aborted) {
      this.#wantedSince.delete(service.name);
      return;
    }
    const nowMs = clock.now();
    if (nowMs < (this.#settledAt.get(service.name) ?? 0)) return;
    const stage = changes[0]?.stage;
    const none = !engines.some((engine) => engine.stage === stage);
    const sinceMs = this.#wantedSinceMs(service.name, none ? [] : engines);
    const lost = directory.all(service.name)
      .filter((engine) => engine.stage === stage);
    const leaving = lost.some((it) => it.state === BackendState.Draining);
    if (nowMs - sinceMs < lastingMs({ idle, none, leaving })) return;
    await this.#order(service, changes, signal);
  }

  /** Since when a change is wanted with these very engines. */
  #wantedSinceMs(service: string, engines: readonly Backend[]): number {
    const members = engines.map((engine) => engine.id).sort().join();
    const known = this.#wantedSince.get(service);
    if (known?.members === members) return known.sinceMs;
    const sinceMs = this.#options.clock.now();
    this.#wantedSince.set(service, { members, sinceMs });
    return sinceMs;
  }

  async #order(
    service: Service,
    changes: readonly StageChange[],
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, leases } = this.#options;
    const [first] = changes;
    if (!first) return;
    const settleMs = (service.engine?.stageSwitchMs ?? 0) + LISTING_MS;
    const engineIds = changes.map((change) => change.engine.id);
    const purpose = { engineIds, stage: first.stage, settleMs };
    const lease = await leases.acquire(purpose, signal);
    if (!lease || signal.aborted) return;
    this.#settledAt.set(service.name, clock.now() + settleMs);
    this.#wantedSince.delete(service.name);
    const sent = changes.map((change) =>
      this.#send(change, lease, settleMs, signal)
    );
    await Promise.all(sent);
  }

  async #send(
    { engine, stage }: StageChange,
    lease: OrderLease,
    settleMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, log, orders, setAside } = this.#options;
    if (clock.now() > lease.validUntilMs) {
      log("order_lease_expired", { backend: engine.id });
      return;
    }
    const end = await orders.order(engine, stage, lease.fencingToken, signal);
    if (end !== OrderEnd.Rejected) setAside(engine, settleMs);
    log("stage_order", {
      backend: engine.id,
      service: engine.service,
      stage,
      end,
      fencing_token: lease.fencingToken,
    });
  }
}

/** What decides how long a change has to be wanted. */
interface Want {
  /** Nothing was served yet. */
  idle: boolean;
  /** No engine is left at the wanted stage. */
  none: boolean;
  /** Those that were there leave by plan, and won't come back. */
  leaving: boolean;
}

/** How long a change has to be wanted before it is ordered, in milliseconds. */
function lastingMs({ idle, none, leaving }: Want): number {
  if (idle) return FIRST_LASTING_MS;
  if (!none) return LASTING_MS;
  return leaving ? 0 : NONE_LASTING_MS;
}
