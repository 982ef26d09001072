/**
 * Orders engines to change their stage. Of all routers only the holder of a
 * lease sends orders, and engines check its fencing token. The lease tells the
 * other routers which changes are under way, so that none is ordered twice. It
 * is taken some time before the orders: meanwhile no router places new work on
 * these engines, and the reservations made there are used or expire.
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

/** The right to send orders for a short time. */
export interface OrderLease {
  /** Greater than every token issued before. */
  fencingToken: number;
  /** Orders may be sent until then, in milliseconds of the process clock. */
  validUntilMs: number;
}

/** Changes that a lease was acquired for, as other routers see them. */
export interface OrderedChanges {
  engineIds: readonly string[];
  stage: EngineStage;
  /** Time in which no other router sends orders, in milliseconds. */
  settleMs: number;
}

/** Access to the lease in the store. */
export interface OrderLeases {
  /** Acquires the lease for a few orders; undefined while another holds it. */
  acquire(
    orderedChanges: OrderedChanges,
    signal: AbortSignal,
  ): Promise<OrderLease | undefined>;
}

/** Outcome of an order. */
export enum OrderOutcome {
  Accepted = "accepted",
  Rejected = "rejected",
  /** No response: the order may still be carried out. */
  Unknown = "unknown",
}

/** Sends orders to engines. */
export interface StageOrders {
  order(
    engine: Backend,
    stage: EngineStage,
    fencingToken: number,
    signal: AbortSignal,
  ): Promise<OrderOutcome>;
}

/** Options of {@link StageBalancer}. */
export interface StageBalancerOptions {
  clock: Clock;
  log: Logger;
  directory: BackendDirectory;
  leases: OrderLeases;
  orders: StageOrders;
  services: () => Iterable<Service>;
  stageWorkOf: (service: string) => StageWork;
  /** Number of generations that this router runs on an engine. */
  loadOf: (engine: Backend) => number;
  /** Suspends calls to an engine for a while because its stage changes. */
  suspendBackend: (engine: Backend, forMs: number) => void;
  /** Ends the suspension of an engine that does not change its stage. */
  resumeBackend: (engine: Backend) => void;
  /** Requests were lately rejected for lack of decode memory. */
  decodeMemoryShort: (service: string) => boolean;
  /**
   * Random offset to the check interval, in milliseconds, so that routers do
   * not act at the same time.
   */
  jitterMs: () => number;
}

/** Stages that engines are expected to have once a change has settled. */
interface ExpectedStages {
  engineIds: readonly string[];
  stage: EngineStage;
  /** When the change has settled, in milliseconds of the process clock. */
  atMs: number;
}

/** Orders that were announced by the lease and are sent later. */
interface AnnouncedOrders {
  changes: readonly StageChange[];
  lease: OrderLease;
  /** When the orders are sent, in milliseconds of the process clock. */
  dueAtMs: number;
}

const CHECK_INTERVAL_MS = 500;
/** How long an imbalance must last while requests are served, in ms. */
const MIN_IMBALANCE_MS = 8_000;
/** The same if a stage has no engine left: lost ones may come back soon. */
const MIN_EMPTY_STAGE_MS = 3_500;
/** How long no engine may have joined after a start, in milliseconds. */
const MIN_STARTUP_STABLE_MS = 1_500;
/** Maximum share of a service's engines that change at once under load. */
const MAX_CHANGE_SHARE = 0.1;
/** Time after a stage change until the store lists it, in milliseconds. */
const LISTING_DELAY_MS = 3_000;
/**
 * Time from the lease to the orders under load, in milliseconds: a reservation
 * is used or expires within it.
 */
const ANNOUNCEMENT_MS = 2_000;
/** Time in which an engine under load ends its running requests, in ms. */
const RUN_OUT_MS = 4_000;

/** Decides on stage changes and orders them. */
export class StageBalancer {
  readonly #options: StageBalancerOptions;
  readonly #imbalances = new Map<
    string,
    { members: string; sinceMs: number }
  >();
  readonly #settledAtMs = new Map<string, number>();
  #announced: AnnouncedOrders[] = [];
  #expected: ExpectedStages[] = [];

  constructor(options: StageBalancerOptions) {
    this.#options = options;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS + this.#options.jitterMs(), signal);
      const services = [...this.#options.services()].filter((it) => it.engine);
      this.#assumeSettled();
      await this.#sendDue(signal);
      for (const service of services) await this.#check(service, signal);
    }
  }

  /** Suspends the engines that another router is about to change. */
  noteOrderedChanges(orderedChanges: OrderedChanges): void {
    const { directory, suspendBackend } = this.#options;
    this.#expect(orderedChanges);
    for (const id of orderedChanges.engineIds) {
      const engine = directory.get(id);
      if (!engine || engine.stage === orderedChanges.stage) continue;
      suspendBackend(engine, orderedChanges.settleMs);
    }
  }

  async #check(service: Service, signal: AbortSignal): Promise<void> {
    const { clock, directory, decodeMemoryShort, loadOf, stageWorkOf } =
      this.#options;
    const work = stageWorkOf(service.name);
    const idle = work.prefillMs + work.decodeMs === 0;
    const engines = directory.ready(service.name);
    const maxChanges = idle
      ? engines.length
      : Math.max(1, Math.floor(engines.length * MAX_CHANGE_SHARE));
    const changes = planStageChanges({
      engines,
      work,
      loadOf,
      decodeMemoryShort: decodeMemoryShort(service.name),
    }, maxChanges);
    if (changes.length === 0 || signal.aborted) {
      this.#imbalances.delete(service.name);
      return;
    }
    const nowMs = clock.now();
    if (nowMs < (this.#settledAtMs.get(service.name) ?? 0)) return;
    const stage = changes[0]?.stage;
    const none = !engines.some((engine) => engine.stage === stage);
    const sinceMs = this.#imbalanceSinceMs(service.name, none ? [] : engines);
    const listedAtStage = directory.all(service.name)
      .filter((engine) => engine.stage === stage);
    const leaving = listedAtStage.some((it) =>
      it.state === BackendState.Draining
    );
    if (nowMs - sinceMs < requiredImbalanceMs({ idle, none, leaving })) return;
    await this.#order(service, changes, idle || none, signal);
  }

  /** Returns since when the same set of engines has needed a change. */
  #imbalanceSinceMs(service: string, engines: readonly Backend[]): number {
    const members = engines.map((engine) => engine.id).sort().join();
    const known = this.#imbalances.get(service);
    if (known?.members === members) return known.sinceMs;
    const sinceMs = this.#options.clock.now();
    this.#imbalances.set(service, { members, sinceMs });
    return sinceMs;
  }

  async #order(
    service: Service,
    changes: readonly StageChange[],
    immediately: boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, leases, suspendBackend } = this.#options;
    const [first] = changes;
    if (!first) return;
    const settleMs = (service.engine?.stageSwitchMs ?? 0) + LISTING_DELAY_MS +
      (immediately ? 0 : ANNOUNCEMENT_MS + RUN_OUT_MS);
    const engineIds = changes.map((change) => change.engine.id);
    const orderedChanges = { engineIds, stage: first.stage, settleMs };
    const lease = await leases.acquire(orderedChanges, signal);
    if (!lease || signal.aborted) return;
    this.#settledAtMs.set(service.name, clock.now() + settleMs);
    this.#imbalances.delete(service.name);
    for (const { engine } of changes) suspendBackend(engine, settleMs);
    this.#expect(orderedChanges);
    const dueAtMs = clock.now() + (immediately ? 0 : ANNOUNCEMENT_MS);
    this.#announced.push({ changes, lease, dueAtMs });
    await this.#sendDue(signal);
  }

  /** Remembers the stages that engines have once the changes have settled. */
  #expect({ engineIds, stage, settleMs }: OrderedChanges): void {
    const atMs = this.#options.clock.now() + settleMs;
    this.#expected.push({ engineIds, stage, atMs });
  }

  /**
   * While the store is unreachable it cannot list the new stages, so engines
   * are assumed to have changed once the change has settled.
   */
  #assumeSettled(): void {
    const { clock, directory } = this.#options;
    const nowMs = clock.now();
    const settled = this.#expected.filter((it) => it.atMs <= nowMs);
    this.#expected = this.#expected.filter((it) => it.atMs > nowMs);
    if (!directory.outdated) return;
    for (const { engineIds, stage } of settled) {
      for (const id of engineIds) directory.assumeStage(id, stage);
    }
  }

  async #sendDue(signal: AbortSignal): Promise<void> {
    const nowMs = this.#options.clock.now();
    const due = this.#announced.filter((it) => it.dueAtMs <= nowMs);
    this.#announced = this.#announced.filter((it) => it.dueAtMs > nowMs);
    const sent = due.flatMap(({ changes, lease }) =>
      changes.map((change) => this.#send(change, lease, signal))
    );
    await Promise.all(sent);
  }

  async #send(
    { engine, stage }: StageChange,
    lease: OrderLease,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, log, orders, resumeBackend } = this.#options;
    if (clock.now() > lease.validUntilMs) {
      log("order_lease_expired", { backend: engine.id });
      resumeBackend(engine);
      return;
    }
    const end = await orders.order(engine, stage, lease.fencingToken, signal);
    if (end === OrderOutcome.Rejected) resumeBackend(engine);
    log("stage_order", {
      backend: engine.id,
      service: engine.service,
      stage,
      end,
      fencing_token: lease.fencingToken,
    });
  }
}

/** Conditions that determine how long an imbalance must last. */
interface ChangeConditions {
  /** No request has been served yet. */
  idle: boolean;
  /** No engine is ready at the stage that needs more. */
  none: boolean;
  /** Engines of that stage are draining and will not come back. */
  leaving: boolean;
}

/** How long an imbalance must last before a change is ordered, in ms. */
function requiredImbalanceMs(
  { idle, none, leaving }: ChangeConditions,
): number {
  if (idle) return MIN_STARTUP_STABLE_MS;
  if (!none) return MIN_IMBALANCE_MS;
  return leaving ? 0 : MIN_EMPTY_STAGE_MS;
}
