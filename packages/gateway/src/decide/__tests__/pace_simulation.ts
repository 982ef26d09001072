/**
 * Simulates routers and the servers of one plain service without a network, in
 * ticks of one clock. Servers run as many requests at a time as they have slots,
 * queue some, and refuse the rest; a cold one is slower until it has completed
 * some requests. Routers place with the code under test.
 */
import {
  createRandom,
  ManualClock,
  type Random,
} from "@sassafrascleat/runtime";
import {
  type Backend,
  BackendState,
  incarnationOf,
} from "../../backends/backend.ts";
import { recordOutcome } from "../../runs/record_outcome.ts";
import { CallOutcome, HealthTracker } from "../backend_health.ts";
import { pickPlainBackend } from "../plain_placement.ts";
import { RequestRateLimits } from "../request_rate_limits.ts";
import { RouterRanks } from "../router_ranks.ts";
import { ServerPace } from "../server_pace.ts";

const TICK_MS = 2;
const QUEUE_PER_SLOT = 8;
/** Completed requests after which a server is warm. */
const COLD_REQUESTS = 60;

/** One request at a server. */
interface Job {
  router: SimRouter;
  sentAtMs: number;
  endsAtMs?: number;
}

export interface SimServerOptions {
  slots: number;
  /** Mean time of a request on a free, warm server. */
  serviceMs: number;
  /** Factor on that time while the server is cold. @default 1 */
  coldFactor?: number;
}

/** A server, and what it has seen. */
export class SimServer {
  readonly backend: Backend;
  completed = 0;
  refused = 0;
  /** Most requests at a time, queued ones included. */
  peak = 0;
  #everCompleted = 0;
  readonly jobs: Job[] = [];
  readonly #options: SimServerOptions;

  constructor(id: string, options: SimServerOptions) {
    this.#options = options;
    this.backend = {
      id,
      service: "s",
      address: "127.0.0.1:1",
      zone: "z1",
      slots: options.slots,
      state: BackendState.Ready,
      version: "v1",
    };
  }

  get key(): string {
    return incarnationOf(this.backend);
  }

  /** Takes a request, or refuses it. */
  accept(job: Job): boolean {
    if (this.jobs.length >= this.#options.slots * (1 + QUEUE_PER_SLOT)) {
      this.refused += 1;
      return false;
    }
    this.jobs.push(job);
    this.peak = Math.max(this.peak, this.jobs.length);
    return true;
  }

  /** Starts queued requests and returns those that are done. */
  advance(nowMs: number, random: Random): Job[] {
    for (const job of this.jobs.slice(0, this.#options.slots)) {
      job.endsAtMs ??= nowMs + this.#serviceMs(random);
    }
    const done = this.jobs.filter((job) => (job.endsAtMs ?? Infinity) <= nowMs);
    for (const job of done) this.jobs.splice(this.jobs.indexOf(job), 1);
    this.completed += done.length;
    this.#everCompleted += done.length;
    return done;
  }

  #serviceMs(random: Random): number {
    const { coldFactor = 1, serviceMs } = this.#options;
    const isCold = this.#everCompleted < COLD_REQUESTS;
    return serviceMs * (0.6 + 0.8 * random.float()) * (isCold ? coldFactor : 1);
  }
}

/** One router with its own view of the servers. */
export class SimRouter {
  readonly health: HealthTracker;
  readonly pace: ServerPace;
  readonly inProgress = new Map<string, number>();
  readonly #sim: PaceSimulation;

  constructor(sim: PaceSimulation, name: string, names: readonly string[]) {
    const { clock } = sim;
    this.#sim = sim;
    this.health = new HealthTracker(clock);
    const ranks = new RouterRanks(name);
    ranks.setRouters(names);
    this.pace = new ServerPace({
      clock,
      health: this.health,
      ranks,
      enabled: () => sim.options.pacing,
      peersOf: () => sim.ready,
      isUsable: (key) => this.health.isUsable(key),
    });
  }

  /** Sends one request. */
  send(): void {
    const { clock, rateLimits, random, ready, servers } = this.#sim;
    const { health, inProgress, pace } = this;
    const inputs = { health, inProgress, pace, rateLimits, random, zone: "z1" };
    const backend = pickPlainBackend(ready, inputs);
    const server = servers.find((item) => item.backend === backend);
    if (!server) throw new Error("a request found no server");
    const job = { router: this, sentAtMs: clock.now() };
    if (!server.accept(job)) {
      this.#sim.late += 1;
      recordOutcome(this, server.backend, CallOutcome.NotExecuted, 0);
      return;
    }
    const count = this.inProgress.get(server.key) ?? 0;
    this.inProgress.set(server.key, count + 1);
  }

  /** Handles the response to one request. */
  complete(server: SimServer, job: Job): void {
    const latencyMs = this.#sim.clock.now() - job.sentAtMs;
    if (latencyMs > this.#sim.options.targetMs) this.#sim.late += 1;
    const count = this.inProgress.get(server.key) ?? 1;
    this.inProgress.set(server.key, count - 1);
    recordOutcome(this, server.backend, CallOutcome.Good, latencyMs);
  }
}

export interface PaceSimulationOptions {
  routers: number;
  /** Requests a second, over all routers. */
  perSecond: number;
  /** Time after which a response counts as late. */
  targetMs: number;
  pacing: boolean;
  seed: number;
}

/** Routers, servers and the load between them. */
export class PaceSimulation {
  readonly clock = new ManualClock(1_000);
  readonly random: Random;
  readonly rateLimits: RequestRateLimits;
  readonly options: PaceSimulationOptions;
  readonly servers: SimServer[];
  readonly routers: SimRouter[];
  /** Backend servers that are listed. */
  ready: readonly Backend[] = [];
  /** Requests that were refused, or answered after the target. */
  late = 0;
  #due = 0;

  constructor(options: PaceSimulationOptions, servers: SimServer[]) {
    this.options = options;
    this.servers = servers;
    this.random = createRandom(options.seed);
    const { clock, random } = this;
    const limits = { clock, random, routerName: "", assumedRouters: 1 };
    this.rateLimits = new RequestRateLimits(limits);
    const count = options.routers;
    const names = Array.from({ length: count }, (_item, i) => `front-${i}`);
    this.routers = names.map((name) => new SimRouter(this, name, names));
  }

  /** Lists a server at all routers. */
  list(server: SimServer): void {
    this.ready = [...this.ready, server.backend];
    for (const { pace } of this.routers) pace.observeReady(server.backend);
  }

  /** Forgets what was counted. */
  resetCounts(): void {
    this.late = 0;
    for (const server of this.servers) {
      Object.assign(server, { completed: 0, refused: 0, peak: 0 });
    }
  }

  run(forMs: number): void {
    for (let ms = 0; ms < forMs; ms += TICK_MS) {
      this.clock.advance(TICK_MS);
      this.#due += this.options.perSecond * TICK_MS / 1_000;
      for (; this.#due >= 1; this.#due -= 1) {
        this.routers[this.random.int(0, this.routers.length - 1)]?.send();
      }
      for (const server of this.servers) {
        const done = server.advance(this.clock.now(), this.random);
        for (const job of done) job.router.complete(server, job);
      }
    }
  }

  /** Routers that pace a server. */
  pacedAt(server: SimServer): number {
    const limits = this.routers.map(({ pace }) => pace.limitOf(server.key));
    return limits.filter((limit) => limit !== undefined).length;
  }
}
