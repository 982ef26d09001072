/**
 * Sends the orders that bring engines to their configured state: change the
 * role, load a model or an adapter. Any number of issuers may run concurrently:
 * an order is idempotent and carries a fencing number that the sidecar checks,
 * and all issuers process the backend servers of a pool in the same sequence,
 * so that together they respect the pool's limit of concurrent loads.
 */
import { type ConfigView, ObjectKind, type Pool } from "@sassafrascleat/config";
import {
  type BackendServer,
  HostState,
  type OrderReply,
  type OrderRequest,
  OrderState,
} from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  createRandom,
  type Random,
  rankCandidates,
  runPeriodically,
  systemClock,
} from "@sassafrascleat/runtime";
import { ORDER_INTERVAL_MS } from "../constants.ts";
import type { HostView } from "../hosts/host_view.ts";
import { desiredStateKeyOf, type OrderStep, stepsOf } from "./pool_plan.ts";
import { ServerOrders } from "./server_orders.ts";

/** Options of an order issuer. */
export interface OrderIssuerOptions {
  config: ConfigView;
  hosts: HostView;
  /** Office whose pools get orders. */
  office: string;
  /** Sends one order; undefined if no answer arrived in time. */
  send: (
    server: BackendServer,
    req: OrderRequest,
    signal: AbortSignal,
  ) => Promise<OrderReply | undefined>;
  /** Whether this daemon currently issues orders. @default always */
  isActive?: () => boolean;
  /** Interval between two checks for due orders, in milliseconds. @default 1000 */
  intervalMs?: number;
  /** @default the process clock */
  clock?: Clock;
  /** @default a fixed seed */
  random?: Random;
}

/** Progress of one pool's orders, as observed by this issuer. */
export interface PoolProgress {
  pool: string;
  fencingNumber: number;
  servers: number;
  done: number;
  running: number;
  failed: number;
}

/** Issues the orders for the pools of one office. */
export interface OrderIssuer {
  progress(): PoolProgress[];
  /** Sends the orders that are due; resolves when each is answered or its answer is lost. */
  tick(signal: AbortSignal): Promise<void>;
  /** Sends due orders at intervals until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Creates an issuer, which sends nothing until `run` or `tick` is called. */
export function createOrderIssuer(options: OrderIssuerOptions): OrderIssuer {
  return new ConfigOrderIssuer(options);
}

interface PoolOrders {
  desiredStateKey: string;
  fencingNumber: number;
  servers: Map<string, ServerOrders>;
}

const log = createLogger("orders");

class ConfigOrderIssuer implements OrderIssuer {
  readonly #options: OrderIssuerOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pools = new Map<string, PoolOrders>();

  constructor(options: OrderIssuerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? createRandom(1);
  }

  progress(): PoolProgress[] {
    return this.#localPools().map((pool) => this.#progressOf(pool));
  }

  async tick(signal: AbortSignal): Promise<void> {
    const pools = this.#localPools();
    const names = new Set(pools.map((pool) => pool.name));
    for (const name of this.#pools.keys()) {
      if (!names.has(name)) this.#pools.delete(name);
    }
    await Promise.all(
      pools.flatMap((pool) => this.#sendDueOrders(pool, signal)),
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    const { intervalMs = ORDER_INTERVAL_MS, isActive } = this.#options;
    await runPeriodically(intervalMs, signal, () => {
      if (isActive && !isActive()) return;
      return this.tick(signal);
    });
  }

  #localPools(): Pool[] {
    return this.#options.config.list(ObjectKind.Pool)
      .map((item) => item.object)
      .filter((pool) => pool.office === this.#options.office);
  }

  /** Live backend servers of a pool, in the sequence that all issuers use. */
  #rankedServersOf(pool: Pool): BackendServer[] {
    const servers = this.#options.hosts.all().filter((server) =>
      server.pool === pool.name && server.state === HostState.Live
    );
    return rankCandidates(pool.name, servers, (server) => server.name);
  }

  #sendDueOrders(pool: Pool, signal: AbortSignal): Promise<void>[] {
    const orders = this.#ordersOf(pool);
    const servers = this.#rankedServersOf(pool);
    const nowMs = this.#clock.now();
    removeUnlistedServers(orders, servers);
    const states = servers.map((server) => serverOrdersOf(orders, server.name));
    let loadingCount =
      states.filter((state) => state.mayBeLoading(nowMs)).length;
    const started: Promise<void>[] = [];
    for (const [index, server] of servers.entries()) {
      const state = states[index]!;
      const steps = stepsOf(pool, server);
      if (steps.length === 0 || !state.isDue(nowMs)) continue;
      if (!state.mayBeLoading(nowMs)) {
        if (loadingCount >= pool.maxConcurrentLoads) continue;
        loadingCount += 1;
      }
      started.push(this.#sendOrder(orders, server, state, steps, signal));
    }
    return started;
  }

  /** Sends the next order; if all are done, sends the last one again as a check. */
  async #sendOrder(
    orders: PoolOrders,
    server: BackendServer,
    state: ServerOrders,
    steps: readonly OrderStep[],
    signal: AbortSignal,
  ): Promise<void> {
    const step = steps[Math.min(state.step, steps.length - 1)]!;
    const { fencingNumber } = orders;
    state.inFlight = true;
    const req = { ...step, fencingNumber };
    const reply = await this.#options.send(server, req, signal);
    state.recordReply(reply, steps.length, this.#clock.now(), this.#random);
    log("order", {
      backend: server.name,
      kind: step.kind,
      fencingNumber,
      state: reply?.state ?? "no_answer",
    });
    if (reply?.state === OrderState.Refused) {
      this.#raiseFencingNumber(orders, reply);
    }
  }

  /**
   * Raises the fencing number after a refusal, which contains the highest number
   * that the sidecar has seen. If the active configuration is at least that new,
   * orders continue under that number, so that all issuers agree on one. If
   * this pool's orders use that number already, another order has it too, and
   * they continue under the sequence of the active configuration. Otherwise
   * another issuer has a newer configuration, and the number stays until this
   * one has received it.
   */
  #raiseFencingNumber(orders: PoolOrders, reply: OrderReply): void {
    const { sequence } = this.#options.config;
    if (sequence < reply.fencingNumber) return;
    if (reply.fencingNumber > orders.fencingNumber) {
      orders.fencingNumber = reply.fencingNumber;
    } else if (reply.fencingNumber === orders.fencingNumber) {
      orders.fencingNumber = sequence;
    }
  }

  /**
   * Returns the pool's orders; a new desired state gets the current sequence as
   * its fencing number.
   */
  #ordersOf(pool: Pool): PoolOrders {
    const desiredStateKey = desiredStateKeyOf(pool);
    const known = this.#pools.get(pool.name);
    if (known?.desiredStateKey === desiredStateKey) return known;
    const fencingNumber = Math.max(1, this.#options.config.sequence);
    const orders = {
      desiredStateKey,
      fencingNumber,
      servers: new Map(),
    };
    this.#pools.set(pool.name, orders);
    return orders;
  }

  #progressOf(pool: Pool): PoolProgress {
    const orders = this.#ordersOf(pool);
    const servers = this.#rankedServersOf(pool);
    const nowMs = this.#clock.now();
    const progress: PoolProgress = {
      pool: pool.name,
      fencingNumber: orders.fencingNumber,
      servers: servers.length,
      done: 0,
      running: 0,
      failed: 0,
    };
    for (const server of servers) {
      const state = serverOrdersOf(orders, server.name);
      if (state.hasFailed) progress.failed += 1;
      else if (state.isDone(stepsOf(pool, server).length)) progress.done += 1;
      else if (state.mayBeLoading(nowMs)) progress.running += 1;
    }
    return progress;
  }
}

function serverOrdersOf(orders: PoolOrders, name: string): ServerOrders {
  const known = orders.servers.get(name);
  if (known) return known;
  const state = new ServerOrders();
  orders.servers.set(name, state);
  return state;
}

function removeUnlistedServers(
  orders: PoolOrders,
  servers: readonly BackendServer[],
): void {
  const names = new Set(servers.map((server) => server.name));
  for (const name of orders.servers.keys()) {
    if (!names.has(name)) orders.servers.delete(name);
  }
}
