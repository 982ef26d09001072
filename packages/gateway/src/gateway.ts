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
import { HealthTracker } from "./decide/backend_health.ts";
import { connectionShare } from "./decide/connection_share.ts";
import { EngineLoadTracker } from "./decide/engine_load_tracker.ts";
import { OutputLengthEstimator } from "./decide/output_length_estimator.ts";
import { PrefillSpeedEstimator } from "./decide/prefill_speed.ts";
import type { StageWork } from "./decide/stage_plan.ts";
import { RequestRateLimits } from "./decide/request_rate_limits.ts";
import { RetryBudget, type RetryLimits } from "./decide/retry_budget.ts";
import { Ingress, type IngressRequest } from "./http/ingress.ts";
import { type ResponseHead, Upstream } from "./http/upstream.ts";
import type { HeaderCodec } from "./http/wire_codec.ts";
import { createGatewayMetrics, type GatewayMetrics } from "./metrics.ts";
import {
  type GatewayPolicy,
  type GatewayPolicyOptions,
  resolveGatewayPolicy,
} from "./policy.ts";
import { type CrashLog, LocalCrashLog } from "./quarantine/crash_log.ts";
import { RequestKeys } from "./quarantine/request_keys.ts";
import { RequestQuarantine } from "./quarantine/request_quarantine.ts";
import { DecodeReservations } from "./runs/decode_reservations.ts";
import { LivenessChecks } from "./runs/liveness_checks.ts";
import { runPlain } from "./runs/plain_run.ts";
import {
  type CallerRequest,
  type EngineControl,
  quarantineMs,
  type RunContext,
  type RunOutcome,
  RunReason,
} from "./runs/run_context.ts";
import { runStream } from "./runs/stream_run.ts";
import { reject, rejectQuarantined } from "./runs/reject.ts";

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  clock: Clock;
  log: Logger;
  random: Random;
  /** Availability zone of this host. */
  zone: string;
  /** Name of this router, different from that of all others. @default "" */
  routerName?: string;
  codec: HeaderCodec;
  /** Creates the client for control calls to engines. */
  createEngineControl: (upstream: Upstream) => EngineControl;
  policy?: GatewayPolicyOptions;
  /**
   * Time in which the store drops the entry of a backend server that doesn't
   * renew it, in milliseconds. @default 5000
   */
  entryLifetimeMs?: number;
  /**
   * Returns the log of crashed engines that all routers share.
   * @default a log of this router alone
   */
  crashLog?: () => CrashLog;
}

const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
/** Retry-After sent before the first configuration has arrived, in ms. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** How long a rejection for lack of decode memory counts, in milliseconds. */
const DECODE_SHORTAGE_TTL_MS = 10_000;
/** After draining for this long, new streams are rejected; in milliseconds. */
const DRAIN_STREAM_CUTOFF_MS = 2_500;

/** Serves the callers of one router process. */
export class Gateway {
  readonly config: ConfigHolder;
  readonly directory: BackendDirectory;
  readonly metrics: GatewayMetrics;
  readonly ingress: Ingress;
  readonly upstream: Upstream;
  /** Keeps requests away from the backend servers that they would crash. */
  readonly quarantine: RequestQuarantine;
  readonly #ctx: RunContext;
  readonly #rateLimits: RequestRateLimits;
  readonly #decodeReservations = new Map<string, DecodeReservations>();
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #outputEstimators = new Map<string, OutputLengthEstimator>();
  readonly #prefillSpeeds = new Map<string, PrefillSpeedEstimator>();
  readonly #stageWork = new Map<string, StageWork>();
  #drainStartMs: number | undefined;
  /** Number of router instances that share retry and connection limits. */
  #routerCount: number;
  readonly #startMs: number;

  constructor(options: GatewayOptions) {
    const { clock, log, random } = options;
    const policy = resolveGatewayPolicy(options.policy);
    this.#routerCount = policy.entries;
    this.#startMs = clock.now();
    this.config = new ConfigHolder(clock, log);
    this.directory = new BackendDirectory({
      clock,
      log,
      entryLifetimeMs: options.entryLifetimeMs,
    });
    this.metrics = createGatewayMetrics();
    this.#rateLimits = new RequestRateLimits({
      clock,
      random,
      routerName: options.routerName ?? "",
      assumedRouters: policy.entries,
    });
    this.quarantine = new RequestQuarantine({
      clock,
      log,
      random,
      crashLog: options.crashLog ?? localCrashLog(),
    });
    this.upstream = new Upstream({
      log,
      maxConnectionsTo: (backend) => this.#maxConnectionsTo(backend),
      onResponse: (backend, head) => this.#observeServerState(backend, head),
    });
    const engines = options.createEngineControl(this.upstream);
    this.#ctx = {
      clock,
      log,
      random,
      zone: options.zone,
      codec: options.codec,
      engines,
      liveness: new LivenessChecks({
        clock,
        isAlive: (backend) => engines.isAlive(backend),
      }),
      upstream: this.upstream,
      directory: this.directory,
      health: new HealthTracker(clock),
      engineLoads: new EngineLoadTracker(clock),
      quarantine: this.quarantine,
      rateLimits: this.#rateLimits,
      metrics: this.metrics,
      policy,
      inProgress: new Map(),
      activeStreams: new Map(),
      decodeShortages: new Map(),
      retryBudgetOf: (service) => this.#retryBudgetOf(service),
      outputEstimatorOf: (route) =>
        getOrCreate(
          this.#outputEstimators,
          route,
          () => new OutputLengthEstimator(),
        ),
      prefillSpeedOf: (service) =>
        getOrCreate(
          this.#prefillSpeeds,
          service,
          () => new PrefillSpeedEstimator(policy.prefillTokensPerMs),
        ),
      stageWorkOf: (service) => this.stageWorkOf(service),
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
        this.#ctx.health.resume(key);
        return;
      }
      const streams = this.#ctx.activeStreams.get(key) ?? [];
      for (const stream of streams) stream.onEngineDraining();
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

  /**
   * Notes that the store was restored from a copy. Called before anything that
   * it responds from then on is applied.
   */
  handleStoreRestored(): void {
    this.directory.markStoreRestored();
    this.quarantine.handleLogRestored();
  }

  /** Sets the names of the router instances that share limits. */
  setRouters(names: readonly string[]): void {
    this.#rateLimits.setRouters(names);
    const routerCount = Math.max(1, names.length);
    if (routerCount === this.#routerCount) return;
    this.#ctx.log("entries_counted", {
      entries: routerCount,
      before: this.#routerCount,
    });
    this.#routerCount = routerCount;
  }

  /** Estimated work of a service's generations that ended at this router. */
  stageWorkOf(service: string): StageWork {
    const create = () => ({ prefillMs: 0, decodeMs: 0 });
    return getOrCreate(this.#stageWork, service, create);
  }

  /** Number of generations that this router has placed on an engine. */
  loadOf(engine: Backend): number {
    return this.#ctx.engineLoads.loadOf(incarnationOf(engine)).requestCount;
  }

  /** Sends a backend server no work for `forMs` or until its entry changes. */
  suspendBackend(backend: Backend, forMs: number): void {
    const { health, log } = this.#ctx;
    log("backend_set_aside", { backend: backend.id, for_ms: forMs });
    health.suspend(incarnationOf(backend), forMs);
  }

  /** Ends the suspension of a backend server. */
  resumeBackend(backend: Backend): void {
    this.#ctx.health.resume(incarnationOf(backend));
  }

  /** Whether requests were lately rejected for lack of decode memory. */
  decodeMemoryShort(service: string): boolean {
    const lastMs = this.#ctx.decodeShortages.get(service) ?? -Infinity;
    return this.#ctx.clock.now() - lastMs < DECODE_SHORTAGE_TTL_MS;
  }

  #removeBackend(backend: Backend): void {
    const key = incarnationOf(backend);
    this.#ctx.health.forget(key);
    this.#ctx.engineLoads.forget(key);
    this.#rateLimits.forget(key);
    this.#ctx.liveness.forget(backend);
    this.upstream.retire(backend);
  }

  #observeServerState(
    backend: Backend,
    { status, headers, ageMs }: ResponseHead,
  ): void {
    const state = this.#ctx.codec.parseServerState(status, headers);
    if (state.leaving) this.directory.markDraining(backend);
    if (state.pauseMs !== undefined) this.#pause(backend, state.pauseMs);
    this.#observeRateLimit(backend, state.rateLimitPerSecond, ageMs);
  }

  #pause(backend: Backend, forMs: number): void {
    if (!this.#rateLimits.pause(incarnationOf(backend), forMs)) return;
    this.#ctx.log("backend_paused", { backend: backend.id, for_ms: forMs });
  }

  #observeRateLimit(
    backend: Backend,
    perSecond: number | undefined,
    ageMs: number,
  ): void {
    const { clock, log } = this.#ctx;
    const sentAtMs = clock.now() - ageMs;
    const key = incarnationOf(backend);
    if (!this.#rateLimits.observe(key, perSecond, sentAtMs)) return;
    log("backend_rate_limit", { backend: backend.id, per_second: perSecond });
  }

  #maxConnectionsTo(backend: Backend): number {
    const services = this.config.current?.table.services;
    const limit = services?.get(backend.service)?.maxConnections ?? 0;
    return connectionShare(limit, this.#routerCount);
  }

  #retryBudgetOf(service: string): RetryBudget {
    const { clock } = this.#ctx;
    const create = () =>
      new RetryBudget({
        clock,
        limits: () => retryLimitsOf(this.#ctx.policy),
        startMs: this.#startMs,
        routerCount: () => this.#routerCount,
      });
    return getOrCreate(this.#retryBudgets, service, create);
  }

  #decodeReservationsOf(service: CallerRequest["service"]): DecodeReservations {
    const create = () => new DecodeReservations(this.#ctx, service);
    return getOrCreate(this.#decodeReservations, service.name, create);
  }

  async #serve(req: IngressRequest): Promise<void> {
    const activeConfig = this.config.current;
    const metadata = this.#ctx.codec.parseRequest(req.headers);
    if (!activeConfig) {
      const headers = this.#ctx.codec.buildLocalReplyHeaders(
        metadata.requestId,
        NOT_READY_RETRY_AFTER_MS,
      );
      this.#ctx.log("refused", {
        req: metadata.requestId,
        reason: "no_config",
      });
      req.responder.reply(STATUS_UNAVAILABLE, headers);
      return;
    }
    const route = activeConfig.routes.find(req.host, req.target);
    if (!route) {
      this.#ctx.log("no_route", {
        req: metadata.requestId,
        host: req.host,
        config: activeConfig.table.version,
      });
      const headers = this.#ctx.codec.buildLocalReplyHeaders(
        metadata.requestId,
      );
      req.responder.reply(STATUS_NOT_FOUND, headers);
      return;
    }
    const name = pickService(route, this.#ctx.random) ?? "";
    const service = activeConfig.table.services.get(name) ??
      { name, maxConnections: 0 };
    const waitMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    await this.#run({
      ...req,
      metadata,
      keys: new RequestKeys({
        ...req,
        service: service.name,
        promptParts: metadata.promptParts,
      }),
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
      req: req.metadata.requestId,
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
    if (quarantineMs(this.#ctx, req) > 0) {
      return Promise.resolve(rejectQuarantined(this.#ctx, req));
    }
    if (req.route.kind !== RouteKind.Stream) return runPlain(this.#ctx, req);
    if (this.#rejectsNewStreams()) {
      const reason = RunReason.Draining;
      return Promise.resolve(reject(this.#ctx, req, reason, 0));
    }
    return runStream(this.#ctx, req, this.#decodeReservationsOf(req.service));
  }

  #rejectsNewStreams(): boolean {
    const sinceMs = this.#drainStartMs;
    return sinceMs !== undefined &&
      this.#ctx.clock.now() - sinceMs > DRAIN_STREAM_CUTOFF_MS;
  }
}

function localCrashLog(): () => CrashLog {
  const crashLog = new LocalCrashLog();
  return () => crashLog;
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
