/**
 * Gives engines the orders that follow from configuration. Any number of
 * issuers may run: an order carries a fencing number that the sidecar checks,
 * it is idempotent, and all issuers go through the backend servers of a pool
 * in the same order, so that together they keep to the pool's concurrent loads.
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
  every,
  type Random,
  rankNodes,
  systemClock,
} from "@sassafrascleat/runtime";
import { ORDER_INTERVAL_MS } from "../constants.ts";
import type { HostView } from "../hosts/host_view.ts";
import { demandOf, type OrderStep, stepsOf } from "./pool_plan.ts";
import { ServerOrders } from "./server_orders.ts";

/** Options of an order issuer. */
export interface OrderIssuerOptions {
  config: ConfigView;
  hosts: HostView;
  /** Pools of this office get orders. */
  office: string;
  /** Gives one order; undefined when no answer came in time. */
  send: (
    server: BackendServer,
    req: OrderRequest,
    signal: AbortSignal,
  ) => Promise<OrderReply | undefined>;
  /** Whether this daemon issues orders now. @default always */
  isActive?: () => boolean;
  /** Interval at which work is looked for, in milliseconds. @default 1000 */
  intervalMs?: number;
  /** @default the process clock */
  clock?: Clock;
  /** @default a fixed seed */
  random?: Random;
}

/** Progress of one pool's orders, as this issuer has seen it. */
export interface PoolProgress {
  pool: string;
  fencingNumber: number;
  servers: number;
  done: number;
  running: number;
  failed: number;
}

/** Issues orders. */
export interface OrderIssuer {
  progress(): PoolProgress[];
  /** Gives the orders that are due; resolves when they are answered. */
  tick(signal: AbortSignal): Promise<void>;
  /** Works until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Creates an issuer; it does nothing before `run`. */
export function createOrderIssuer(options: OrderIssuerOptions): OrderIssuer {
  return new ConfigOrderIssuer(options);
}

interface PoolOrders {
  demand: string;
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
    return this.#ownPools().map((pool) => this.#progressOf(pool));
  }

  async tick(signal: AbortSignal): Promise<void> {
    const pools = this.#ownPools();
    const names = new Set(pools.map((pool) => pool.name));
    for (const name of this.#pools.keys()) {
      if (!names.has(name)) this.#pools.delete(name);
    }
    await Promise.all(pools.flatMap((pool) => this.#startDue(pool, signal)));
  }

  async run(signal: AbortSignal): Promise<void> {
    const { intervalMs = ORDER_INTERVAL_MS, isActive } = this.#options;
    await every(intervalMs, signal, () => {
      if (isActive && !isActive()) return;
      return this.tick(signal);
    });
  }

  #ownPools(): Pool[] {
    return this.#options.config.list(ObjectKind.Pool)
      .map((item) => item.object)
      .filter((pool) => pool.office === this.#options.office);
  }

  /** Backend servers in the order that all issuers share. */
  #serversOf(pool: Pool): BackendServer[] {
    const servers = this.#options.hosts.all().filter((server) =>
      server.pool === pool.name && server.state === HostState.Live
    );
    return rankNodes(pool.name, servers, (server) => server.name);
  }

  #startDue(pool: Pool, signal: AbortSignal): Promise<void>[] {
    const orders = this.#ordersOf(pool);
    const servers = this.#serversOf(pool);
    const nowMs = this.#clock.now();
    forgetOthers(orders, servers);
    const states = servers.map((server) => stateOf(orders, server.name));
    let busy = states.filter((state) => state.isOccupied(nowMs)).length;
    const started: Promise<void>[] = [];
    for (const [index, server] of servers.entries()) {
      const state = states[index]!;
      const steps = stepsOf(pool, server);
      if (steps.length === 0 || !state.isDue(nowMs)) continue;
      if (!state.isOccupied(nowMs)) {
        if (busy >= pool.maxConcurrentLoads) continue;
        busy += 1;
      }
      started.push(this.#give(orders, server, state, steps, signal));
    }
    return started;
  }

  /** A finished backend server is checked with its last step. */
  async #give(
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
    state.take(reply, steps.length, this.#clock.now(), this.#random);
    log("order", {
      backend: server.name,
      kind: step.kind,
      fencingNumber,
      state: reply?.state ?? "no_answer",
    });
    if (reply?.state === OrderState.Refused) this.#raiseFence(orders, reply);
  }

  /**
   * A refusal names the highest fencing number that the sidecar has seen. When
   * the configuration in force is at least that new, the order goes on under
   * that number, so that issuers agree on one; when another order already has
   * it, under the sequence in force. Otherwise the newer configuration, which
   * some other issuer has, is waited for.
   */
  #raiseFence(orders: PoolOrders, reply: OrderReply): void {
    const { sequence } = this.#options.config;
    if (sequence < reply.fencingNumber) return;
    if (reply.fencingNumber > orders.fencingNumber) {
      orders.fencingNumber = reply.fencingNumber;
    } else if (reply.fencingNumber === orders.fencingNumber) {
      orders.fencingNumber = sequence;
    }
  }

  /** The pool's demand holds from the sequence at which it was first seen. */
  #ordersOf(pool: Pool): PoolOrders {
    const demand = demandOf(pool);
    const known = this.#pools.get(pool.name);
    if (known?.demand === demand) return known;
    const fencingNumber = Math.max(1, this.#options.config.sequence);
    const orders = { demand, fencingNumber, servers: new Map() };
    this.#pools.set(pool.name, orders);
    return orders;
  }

  #progressOf(pool: Pool): PoolProgress {
    const orders = this.#ordersOf(pool);
    const servers = this.#serversOf(pool);
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
      const state = stateOf(orders, server.name);
      if (state.hasFailed) progress.failed += 1;
      else if (state.isDone(stepsOf(pool, server).length)) progress.done += 1;
      else if (state.isOccupied(nowMs)) progress.running += 1;
    }
    return progress;
  }
}

function stateOf(orders: PoolOrders, name: string): ServerOrders {
  const known = orders.servers.get(name);
  if (known) return known;
  const state = new ServerOrders();
  orders.servers.set(name, state);
  return state;
}

function forgetOthers(
  orders: PoolOrders,
  servers: readonly BackendServer[],
): void {
  const names = new Set(servers.map((server) => server.name));
  for (const name of orders.servers.keys()) {
    if (!names.has(name)) orders.servers.delete(name);
  }
}
