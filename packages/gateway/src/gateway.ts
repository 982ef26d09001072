/**
 * The gateway receives requests from callers, matches them to a route of the
 * active configuration, and forwards them directly to backend servers. It holds
 * all state that its decisions are based on; the deployment's adapter updates
 * its configuration and its list of backend servers.
 */
import type { Clock, Logger, Random } from "@sassafrascleat/runtime";
import { BackendDirectory, DirectoryChange } from "./backends/directory.ts";
import { type Backend, incarnationOf } from "./backends/backend.ts";
import { ConfigHolder } from "./config/config_holder.ts";
import { pickService } from "./config/route_index.ts";
import { RouteKind } from "./config/routing_table.ts";
import { HealthBook } from "./decide/backend_health.ts";
import { connectionShare } from "./decide/connection_share.ts";
import { EngineBook } from "./decide/engine_book.ts";
import { OutputEstimate } from "./decide/output_estimate.ts";
import type { StageWork } from "./decide/stage_plan.ts";
import { RetryAllowance, type RetryLimits } from "./decide/retry_allowance.ts";
import { Ingress, type IngressRequest } from "./http/ingress.ts";
import { Upstream } from "./http/upstream.ts";
import type { WireCodec } from "./http/wire_codec.ts";
import { createGatewayMetrics, type GatewayMetrics } from "./metrics.ts";
import {
  type GatewayPolicy,
  type GatewayPolicyOptions,
  resolveGatewayPolicy,
} from "./policy.ts";
import { DecodeRooms } from "./runs/decode_room.ts";
import { runPlain } from "./runs/plain_run.ts";
import {
  type CallerRequest,
  type EngineControl,
  type RunContext,
  type RunOutcome,
  RunReason,
} from "./runs/run_context.ts";
import { runStream } from "./runs/stream_run.ts";
import { refuse } from "./runs/refuse.ts";

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  clock: Clock;
  log: Logger;
  random: Random;
  /** Availability zone of this host. */
  zone: string;
  codec: WireCodec;
  /** Creates the client for control calls to engines. */
  createEngineControl: (upstream: Upstream) => EngineControl;
  policy?: GatewayPolicyOptions;
}

const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
/** Retry-After sent before the first configuration has arrived, in ms. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** After draining for this long, new streams are rejected; in milliseconds. */
const DRAIN_STREAM_CUTOFF_MS = 2_500;

/** Serves the callers of one router process. */
export class Gateway {
  readonly config: ConfigHolder;
  readonly directory: BackendDirectory;
  readonly metrics: GatewayMetrics;
  readonly ingress: Ingress;
  readonly upstream: Upstream;
  readonly #ctx: RunContext;
  readonly #decodeReservations = new Map<string, DecodeRooms>();
  readonly #retryBudgets = new Map<string, RetryAllowance>();
  readonly #outputEstimates = new Map<string, OutputEstimate>();
  readonly #stageWork = new Map<string, StageWork>();
  #drainStartMs: number | undefined;
  /** Number of router instances that share retry and connection limits. */
  #entries: number;
  readonly #startMs: number;

  constructor(options: GatewayOptions) {
    const { clock, log, random } = options;
    const policy = resolveGatewayPolicy(options.policy);
    this.#entries = policy.entries;
    this.#startMs = clock.now();
    this.config = new ConfigHolder(clock, log);
    this.directory = new BackendDirectory({ clock, log });
    this.metrics = createGatewayMetrics();
    this.upstream = new Upstream({
      log,
      maxConnectionsTo: (backend) => this.#maxConnectionsTo(backend),
    });
    this.#ctx = {
      clock,
      log,
      random,
      zone: options.zone,
      codec: options.codec,
      engines: options.createEngineControl(this.upstream),
      upstream: this.upstream,
      directory: this.directory,
      health: new HealthBook(clock),
      book: new EngineBook(clock),
      metrics: this.metrics,
      policy,
      inProgress: new Map(),
      activeStreams: new Map(),
      allowanceOf: (service) => this.#retryBudgetOf(service),
      estimateOf: (route) =>
        getOrCreate(this.#outputEstimates, route, () => new OutputEstimate()),
      workOf: (service) => this.workOf(service),
    };
    this.ingress = new Ingress({
      log,
      now: () => clock.now(),
      handler: (req) => this.#serve(req),
      closing: () => this.#drainStartMs !== undefined,
    });
    this.config.onChange((table) => {
      this.ingress.setLimits(table.limits);
      this.metrics.configVersion.set(table.version);
      this.#decodeReservations.clear();
    });
    this.directory.onChange((change, backend) => {
      const key = incarnationOf(backend);
      if (change === DirectoryChange.Removed) this.#removeBackend(backend);
      if (change === DirectoryChange.Joined) return;
      if (change === DirectoryChange.Changed) {
        this.#ctx.health.takeBack(key);
        return;
      }
      const streams = this.#ctx.activeStreams.get(key) ?? [];
      for (const stream of streams) stream.engineLeaves();
    });
  }

  /** True if requests can be served and the process is not draining. */
  get ready(): boolean {
    return this.config.current !== undefined && this.directory.loaded &&
      this.#drainStartMs === undefined;
  }

  /** Starts draining: each connection closes after its next response. */
  startDrain(): void {
    this.#drainStartMs ??= this.#ctx.clock.now();
  }

  /** Updates the given limits. Requests in progress may use the old ones. */
  setPolicy(options: GatewayPolicyOptions): void {
    Object.assign(this.#ctx.policy, options);
  }

  /** Sets how many router instances share retry and connection limits. */
  setRouterCount(entries: number): void {
    if (entries === this.#entries) return;
    this.#ctx.log("entries_counted", { entries, before: this.#entries });
    this.#entries = entries;
  }

  /** Estimated work of a service's generations that ended at this router. */
  workOf(service: string): StageWork {
    const create = () => ({ readMs: 0, decodeMs: 0 });
    return getOrCreate(this.#stageWork, service, create);
  }

  /** Number of generations that this router has placed on an engine. */
  loadOf(engine: Backend): number {
    return this.#ctx.book.of(incarnationOf(engine)).requests;
  }

  /** Sends a backend server no work for `forMs` or until its entry changes. */
  setAside(backend: Backend, forMs: number): void {
    const { health, log } = this.#ctx;
    log("backend_set_aside", { backend: backend.id, for_ms: forMs });
    health.setAside(incarnationOf(backend), forMs);
  }

  #removeBackend(backend: Backend): void {
    const key = incarnationOf(backend);
    this.#ctx.health.forget(key);
    this.#ctx.book.forget(key);
    this.upstream.retire(backend);
  }

  #maxConnectionsTo(backend: Backend): number {
    const services = this.config.current?.table.services;
    const limit = services?.get(backend.service)?.maxConnections ?? 0;
    return connectionShare(limit, this.#entries);
  }

  #retryBudgetOf(service: string): RetryAllowance {
    const { clock } = this.#ctx;
    const create = () =>
      new RetryAllowance({
        clock,
        limits: () => retryLimitsOf(this.#ctx.policy),
        startMs: this.#startMs,
        entries: () => this.#entries,
      });
    return getOrCreate(this.#retryBudgets, service, create);
  }

  #decodeReservationsOf(service: CallerRequest["service"]): DecodeRooms {
    const create = () => new DecodeRooms(this.#ctx, service);
    return getOrCreate(this.#decodeReservations, service.name, create);
  }

  async #serve(req: IngressRequest): Promise<void> {
    const activeConfig = this.config.current;
    const facts = this.#ctx.codec.readCaller(req.headers);
    if (!activeConfig) {
      const headers = this.#ctx.codec.ownReply(
        facts.requestId,
        NOT_READY_RETRY_AFTER_MS,
      );
      this.#ctx.log("refused", { req: facts.requestId, reason: "no_config" });
      req.responder.reply(STATUS_UNAVAILABLE, headers);
      return;
    }
    const route = activeConfig.routes.find(req.host, req.target);
    if (!route) {
      this.#ctx.log("no_route", {
        req: facts.requestId,
        host: req.host,
        config: activeConfig.table.version,
      });
      const headers = this.#ctx.codec.ownReply(facts.requestId);
      req.responder.reply(STATUS_NOT_FOUND, headers);
      return;
    }
    const name = pickService(route, this.#ctx.random) ?? "";
    const service = activeConfig.table.services.get(name) ??
      { name, maxConnections: 0 };
    const waitMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs);
    await this.#run({
      ...req,
      facts,
      route,
      service,
      configVersion: activeConfig.table.version,
      deadlineAtMs: req.arrivedMs + waitMs,
    });
  }

  async #run(req: CallerRequest): Promise<void> {
    const { metrics, log, clock } = this.#ctx;
    metrics.inProgress.inc();
    const outcome = await this.#dispatch(req);
    metrics.inProgress.dec();
    const { kind, name } = req.route;
    metrics.requests.inc({ kind, end: outcome.end, reason: outcome.reason });
    if (outcome.firstByteMs !== undefined) {
      metrics.firstByte.observe({ kind }, outcome.firstByteMs / 1000);
    }
    log("request_end", {
      req: req.facts.requestId,
      route: name,
      service: req.service.name,
      end: outcome.end,
      reason: outcome.reason,
      status: outcome.status,
      backend: outcome.backendId,
      attempts: outcome.attempts,
      events: outcome.events,
      first_ms: round(outcome.firstByteMs),
      longest_gap_ms: round(outcome.longestGapMs),
      total_ms: round(clock.now() - req.arrivedMs),
      target_ms: req.route.targetLatencyMs,
      gap_target_ms: req.route.maxEventGapMs || undefined,
      config: req.configVersion,
    });
  }

  #dispatch(req: CallerRequest): Promise<RunOutcome> {
    if (req.route.kind !== RouteKind.Stream) return runPlain(this.#ctx, req);
    if (this.#refusesNewStreams()) {
      const reason = RunReason.Leaving;
      return Promise.resolve(refuse(this.#ctx, req, reason, 0));
    }
    return runStream(this.#ctx, req, this.#decodeReservationsOf(req.service));
  }

  #refusesNewStreams(): boolean {
    const sinceMs = this.#drainStartMs;
    return sinceMs !== undefined &&
      this.#ctx.clock.now() - sinceMs > DRAIN_STREAM_CUTOFF_MS;
  }
}

function retryLimitsOf(policy: GatewayPolicy): RetryLimits {
  return {
    ratio: policy.retryRatio,
    slack: policy.retrySlack,
    windowMs: policy.retryWindowMs,
  };
}

/** Returns the value of `key`, creating it if absent. */
function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const fresh = create();
  map.set(key, fresh);
  return fresh;
}

function round(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
